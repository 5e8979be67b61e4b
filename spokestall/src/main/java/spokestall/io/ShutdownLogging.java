package spokestall.io;

/** Has the process log until its end, also while it shuts down. */
public final class ShutdownLogging {
    private static final String PROPERTY = "java.util.logging.manager";

    private ShutdownLogging() {}

    /**
     * Chooses the {@link ShutdownLogManager} for the process, unless another log manager is chosen. To be called before the first
     * logger is made: this class makes none, and doesn't initialize the log manager.
     */
    public static void install() {
        if (System.getProperty(PROPERTY) == null) {
            System.setProperty(PROPERTY, ShutdownLogManager.class.getName());
        }
    }
}
