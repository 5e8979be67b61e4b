package spokestall.ballot;

/** What a proposer wants done with a register when it sees its present value. */
public sealed interface Edit {
    /** Write this value. */
    record Set(byte[] value) implements Edit {}

    /** Leave it as it is. */
    record Leave() implements Edit {}

    /** Example: {@code now -> now == null ? new Edit.Set(mine) : Edit.LEAVE} */
    Edit LEAVE = new Leave();
}
