package spokestall.node;

/** Lets tests of other packages give the messages their numbers without starting a node. */
public final class NumberedMessages {
    private NumberedMessages() {}

    /** Example: {@code NumberedMessages.register(); Codec.message(frame);} */
    public static void register() {
        MessageNumbers.register();
    }
}
