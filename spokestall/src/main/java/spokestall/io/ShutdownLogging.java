package spokestall.io;

/** Keeps logging active until the process ends, also during shutdown. */
public final class ShutdownLogging {
    private static final String PROPERTY = "java.util.logging.manager";

    private ShutdownLogging() {}

    /**
     * Selects the {@link ShutdownLogManager} for the process, unless another log manager is configured. Must be called before the first
     * logger is created; this class creates none, and doesn't initialize the log manager.
     */
    public static void install() {
        if (System.getProperty(PROPERTY) == null) {
            System.setProperty(PROPERTY, ShutdownLogManager.class.getName());
        }
    }
}
