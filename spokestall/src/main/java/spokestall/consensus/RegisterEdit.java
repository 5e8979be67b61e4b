package spokestall.consensus;

/** What a {@link RegisterEditor} wants done with a register. */
public sealed interface RegisterEdit {
    /** Proposes this value. */
    record Set(byte[] value) implements RegisterEdit {}

    /** Proposes no value of its own; the register's present value is the outcome. */
    record Leave() implements RegisterEdit {}

    /** The only {@link Leave} that is needed. */
    RegisterEdit LEAVE = new Leave();
}
