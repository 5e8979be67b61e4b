package spokestall.node;

/** Registers the message numbers for tests in other packages, which then need no node. */
public final class NumberedMessages {
    private NumberedMessages() {}

    /** Registers all numbers with the codec. */
    public static void register() {
        MessageNumbers.register();
    }
}
