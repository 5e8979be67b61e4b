package spokestall.consensus;

/**
 * The number of a proposal (its ballot), ordered by count and then by proposer. Stored and sent in this order of fields.
 *
 * @param count rises with each attempt of a proposer, and past any count that outranked it
 * @param proposerId names the proposer and its incarnation, so that no two proposers ever use the same number
 */
public record ProposalNumber(long count, String proposerId) implements Comparable<ProposalNumber> {
    /** Below every number that is ever proposed. */
    public static final ProposalNumber NONE = new ProposalNumber(0, "");

    /** Returns the number that the proposer whose value was accepted under this one may use next without a prepare phase. */
    ProposalNumber next() {
        return new ProposalNumber(count + 1, proposerId);
    }

    @Override
    public int compareTo(final ProposalNumber other) {
        final int byCount = Long.compare(count, other.count);
        return byCount != 0 ? byCount : proposerId.compareTo(other.proposerId);
    }
}
