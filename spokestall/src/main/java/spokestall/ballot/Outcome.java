package spokestall.ballot;

/** How a change to a register ended. */
public sealed interface Outcome {
    /** The register's chosen value, and whether this change is what it holds. */
    record Done(byte[] value, boolean wrote) implements Outcome {}

    /** Nothing was sent that could still take hold. */
    record NotDone(String why) implements Outcome {}

    /** It may have taken hold, or may yet. */
    record Undecided() implements Outcome {}

    /** The key lies below what the voters still keep. */
    record Gone() implements Outcome {}
}
