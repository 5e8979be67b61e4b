package spokestall.consensus;

/**
 * What an acceptor stores for one key. Stored and sent in this order of fields.
 *
 * @param promised no proposal with a lower number is accepted from here on
 * @param accepted the number under which the value was accepted; {@link ProposalNumber#NONE} if none was
 * @param value the accepted value, or null if none was accepted
 */
public record Register(ProposalNumber promised, ProposalNumber accepted, byte[] value) {
    static final Register EMPTY = new Register(ProposalNumber.NONE, ProposalNumber.NONE, null);
}
