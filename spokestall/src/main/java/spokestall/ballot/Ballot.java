package spokestall.ballot;

/** A ballot's rank: a count, and who cast it in which life, so that no two proposers ever share one. */
public record Ballot(long count, String by) implements Comparable<Ballot> {
    /** Below every ballot that can be cast. */
    public static final Ballot NONE = new Ballot(0, "");

    /** The rank that whoever had this one accepted may use next without asking first. */
    Ballot next() {
        return new Ballot(count + 1, by);
    }

    @Override
    public int compareTo(final Ballot other) {
        final int byCount = Long.compare(count, other.count);
        return byCount != 0 ? byCount : by.compareTo(other.by);
    }
}
