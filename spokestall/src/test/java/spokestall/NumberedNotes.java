package spokestall;

/** Lets tests of other packages give the notes their numbers without starting a node. */
public final class NumberedNotes {
    private NumberedNotes() {}

    /** Example: {@code NumberedNotes.register(); Codec.note(frame);} */
    public static void register() {
        Notes.number();
    }
}
