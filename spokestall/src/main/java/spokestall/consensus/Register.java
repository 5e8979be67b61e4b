package spokestall.consensus;

/**
 * The state that an acceptor stores for one key. Stored and sent in this order of fields.
 *
 * @param promised the promised number; the acceptor accepts no proposal with a lower number
 * @param accepted the number under which the acceptor accepted the value; {@link ProposalNumber#NONE} if it has accepted none
 * @param value the accepted value, or null if the acceptor has accepted none
 */
public record Register(ProposalNumber promised, ProposalNumber accepted, byte[] value) {
    static final Register EMPTY = new Register(ProposalNumber.NONE, ProposalNumber.NONE, null);
}
