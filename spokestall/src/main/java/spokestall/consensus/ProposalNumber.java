package spokestall.consensus;

/** A proposal number's rank: a count, and who cast it in which life, so that no two proposers ever share one. */
public record ProposalNumber(long count, String by) implements Comparable<ProposalNumber> {
    /** Below every proposal number that can be cast. */
    public static final ProposalNumber NONE = new ProposalNumber(0, "");

    /** The rank that whoever had this one accepted may use next without asking first. */
    ProposalNumber next() {
        return new ProposalNumber(count + 1, by);
    }

    @Override
    public int compareTo(final ProposalNumber other) {
        final int byCount = Long.compare(count, other.count);
        return byCount != 0 ? byCount : by.compareTo(other.by);
    }
}
