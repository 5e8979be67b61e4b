package spokestall.consensus;

/** What a proposer wants done with a register when it sees its present value. */
public sealed interface RegisterEdit {
    /** Write this value. */
    record Set(byte[] value) implements RegisterEdit {}

    /** Leave it as it is. */
    record Leave() implements RegisterEdit {}

    /** Example: {@code now -> now == null ? new RegisterEdit.Set(mine) : RegisterEdit.LEAVE} */
    RegisterEdit LEAVE = new Leave();
}
