package spokestall.consensus;

/**
 * The number of a proposal (its ballot), ordered by count and then by proposer. Stored and sent in this order of fields.
 *
 * @param count increases with each attempt of a proposer, and past any count that outranked the proposer
 * @param proposerId identifies the proposer and its incarnation, so that no two proposers ever use the same number
 */
public record ProposalNumber(long count, String proposerId) implements Comparable<ProposalNumber> {
    /** Placeholder for no proposal, lower than every number that a proposer uses. */
    public static final ProposalNumber NONE = new ProposalNumber(0, "");

    /** Returns the number for the same proposer's next change, which acceptors promise when they accept a value under this one. */
    ProposalNumber next() {
        return new ProposalNumber(count + 1, proposerId);
    }

    @Override
    public int compareTo(final ProposalNumber other) {
        final int byCount = Long.compare(count, other.count);
        return byCount != 0 ? byCount : proposerId.compareTo(other.proposerId);
    }
}
