package spokestall.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The voters of one epoch of one generation. Voter sets are ordered by generation and then by epoch. Stored and sent in this order
 * of fields.
 *
 * <p>Each epoch of a generation differs from the previous one by one voter slot: the slot gets another disk or another core, is
 * added, or is removed. A majority of the current voter set decides the next epoch's voter set, in the register {@link #key}. A new
 * generation starts from the state that survived the loss of a majority; it is decided outside these registers (see
 * {@code spokestall.membership}).
 *
 * @param generation the generation number; versions and fencing tokens of a generation are higher than those of all earlier ones
 * @param epoch the number of voter set changes within the generation
 * @param voters the voter slots, at most {@link #VOTERS_MAX}, with distinct names
 */
public record VoterSet(long generation, long epoch, List<Voter> voters) {
    /** Bit position of the generation in versions and fencing tokens. */
    public static final int GENERATION_SHIFT = 20;
    /** Maximum number of voter slots of a voter set. */
    public static final int VOTERS_MAX = 63;

    /** Key prefix of the registers that decide voter sets. Used on the wire and on disk. */
    public static final String KEY_PREFIX = "voters/";

    /** Returns the key of the register that decides the voter set of a generation and epoch. Used on the wire and on disk. */
    public static String key(final long generation, final long epoch) {
        return KEY_PREFIX + generation + "/" + epoch;
    }

    /** Returns the lowest version and the lowest fencing token of this generation. */
    public long firstNumber() {
        return generation << GENERATION_SHIFT;
    }

    /** Returns the number of voters in a majority; four of six voters, for example. Any two majorities share a voter. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /**
     * Returns how many voters a group must have to share a voter with every majority: three of six voters, four of seven. Any
     * value that a majority has accepted is known to at least one voter of such a group.
     */
    public int intersectingQuorum() {
        return voters.size() - majority() + 1;
    }

    /** Returns whether this voter set is newer than the other one, which may be null. */
    public boolean newerThan(final VoterSet other) {
        return other == null || generation > other.generation || generation == other.generation && epoch > other.epoch;
    }

    /** Returns whether this is the voter set of this generation and epoch. */
    public boolean hasEpoch(final long otherGeneration, final long otherEpoch) {
        return generation == otherGeneration && epoch == otherEpoch;
    }

    /** Returns a core's voter slot, or null if the core has none. */
    public Voter voter(final String name) {
        for (final Voter voter : voters) {
            if (voter.name().equals(name)) {
                return voter;
            }
        }
        return null;
    }

    /** Returns the voter set of the next epoch, in which a core votes with another disk. */
    public VoterSet withReplacedDisk(final Voter voter) {
        return withReplacedVoter(voter.name(), voter);
    }

    /** Returns the voter set of the next epoch, with one more slot. */
    public VoterSet withAddedVoter(final Voter added) {
        assert voter(added.name()) == null && voters.size() < VOTERS_MAX : added;
        final List<Voter> next = new ArrayList<>(voters);
        next.add(added);
        return nextEpoch(next);
    }

    /** Returns the voter set of the next epoch, in which one core's slot is given to another core. */
    public VoterSet withReplacedVoter(final String replacedName, final Voter replacement) {
        assert voter(replacedName) != null : replacedName;
        assert replacedName.equals(replacement.name()) || voter(replacement.name()) == null : replacement;
        final List<Voter> next = new ArrayList<>(voters);
        next.replaceAll(voter -> voter.name().equals(replacedName) ? replacement : voter);
        return nextEpoch(next);
    }

    /**
     * Returns the voter set of the next epoch, with one slot fewer. Only a voter set with an even number of voters may shrink: its
     * majority has one voter more than the next epoch's, so any value that a majority has accepted is still with a majority of the
     * remaining voters.
     */
    public VoterSet withRemovedVoter(final String removedName) {
        assert voter(removedName) != null && voters.size() % 2 == 0 : removedName;
        final List<Voter> next = new ArrayList<>(voters);
        next.removeIf(voter -> voter.name().equals(removedName));
        return nextEpoch(next);
    }

    private VoterSet nextEpoch(final List<Voter> next) {
        return new VoterSet(generation, epoch + 1, next);
    }
}
