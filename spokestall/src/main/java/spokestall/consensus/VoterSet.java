package spokestall.consensus;

import java.util.ArrayList;
import java.util.List;

/** The table of voters. A generation starts from what was left after a loss; an epoch
 * changes one seat: swaps its disk, gives it to another core, adds one or removes one. */
public record VoterSet(long generation, long epoch, List<Voter> voters) {
    /** How far the generation is shifted up in versions and tokens. */
    public static final int GENERATION_SHIFT = 20;
    /** No table has more seats. */
    public static final int VOTERS_MAX = 63;

    /** What the keys of the registers of tables begin with. */
    public static final String KEY_PREFIX = "voters/";

    /** The key of the register that a table is agreed in. */
    public static String key(final long generation, final long epoch) {
        return KEY_PREFIX + generation + "/" + epoch;
    }

    /** The first number of this generation. */
    public long firstNumber() {
        return generation << GENERATION_SHIFT;
    }

    /** Votes needed. Example: with six seats it is four. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /** How many seats are in every majority's way: one of so many took part in whatever a majority did.
     * Example: with six seats it is three, with seven four. */
    public int intersectingQuorum() {
        return voters.size() - majority() + 1;
    }

    /** Whether this table replaces the other. */
    public boolean newerThan(final VoterSet other) {
        return other == null || generation > other.generation || generation == other.generation && epoch > other.epoch;
    }

    /** Whether both stand for the same vote. */
    public boolean hasEpoch(final long otherGeneration, final long otherEpoch) {
        return generation == otherGeneration && epoch == otherEpoch;
    }

    /** A seat by its name, or null. */
    public Voter voter(final String name) {
        for (final Voter voter : voters) {
            if (voter.name().equals(name)) {
                return voter;
            }
        }
        return null;
    }

    /** The next epoch, with one seat's disk swapped. */
    public VoterSet withReplacedDisk(final Voter fresh) {
        return withReplacedVoter(fresh.name(), fresh);
    }

    /** The next epoch, with one seat more. */
    public VoterSet withAddedVoter(final Voter fresh) {
        assert voter(fresh.name()) == null && voters.size() < VOTERS_MAX : fresh;
        final List<Voter> next = new ArrayList<>(voters);
        next.add(fresh);
        return new VoterSet(generation, epoch + 1, next);
    }

    /** The next epoch, with the seat of a core that is gone given to another. */
    public VoterSet withReplacedVoter(final String goneVoterName, final Voter fresh) {
        assert voter(goneVoterName) != null : goneVoterName;
        assert goneVoterName.equals(fresh.name()) || voter(fresh.name()) == null : fresh;
        final List<Voter> next = new ArrayList<>(voters);
        next.replaceAll(s -> s.name().equals(goneVoterName) ? fresh : s);
        return new VoterSet(generation, epoch + 1, next);
    }

    /** The next epoch, with one seat fewer. Only a table of an even number may lose one: its majority has a seat more
     * than the next one needs, so what a majority accepted is with a majority of those that stay. */
    public VoterSet withRemovedVoter(final String goneVoterName) {
        assert voter(goneVoterName) != null && voters.size() % 2 == 0 : goneVoterName;
        final List<Voter> next = new ArrayList<>(voters);
        next.removeIf(s -> s.name().equals(goneVoterName));
        return new VoterSet(generation, epoch + 1, next);
    }
}
