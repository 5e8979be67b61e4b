package spokestall.consensus;

/** The decision of a {@link RegisterEditor}: set a new value or leave the register unchanged. */
public sealed interface RegisterEdit {
    /** Proposes a new value. */
    record Set(byte[] value) implements RegisterEdit {}

    /** Proposes no new value; the outcome is the register's current value. */
    record Leave() implements RegisterEdit {}

    /** Shared instance of {@link Leave}. */
    RegisterEdit LEAVE = new Leave();
}
