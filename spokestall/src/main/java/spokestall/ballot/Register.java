package spokestall.ballot;

/** What a voter keeps for one key: the rank it promised, and the rank and value it accepted (null: none yet). */
public record Register(Ballot promised, Ballot accepted, byte[] value) {
    static final Register EMPTY = new Register(Ballot.NONE, Ballot.NONE, null);
}
