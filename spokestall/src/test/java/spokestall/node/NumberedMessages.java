package spokestall.node;

/** Lets tests of other packages give the notes their numbers without starting a node. */
public final class NumberedMessages {
    private NumberedMessages() {}

    /** Example: {@code NumberedMessages.register(); Codec.note(frame);} */
    public static void register() {
        MessageNumbers.number();
    }
}
