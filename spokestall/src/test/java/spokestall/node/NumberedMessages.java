package spokestall.node;

/** Registers the messages' numbers for tests of other packages, without a node. */
public final class NumberedMessages {
    private NumberedMessages() {}

    /** Registers all numbers with the codec. */
    public static void register() {
        MessageNumbers.register();
    }
}
