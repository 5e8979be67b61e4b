package spokestall.consensus;

/** What a voter keeps for one key: the rank it promised, and the rank and value it accepted (null: none yet). */
public record Register(ProposalNumber promised, ProposalNumber accepted, byte[] value) {
    static final Register EMPTY = new Register(ProposalNumber.NONE, ProposalNumber.NONE, null);
}
