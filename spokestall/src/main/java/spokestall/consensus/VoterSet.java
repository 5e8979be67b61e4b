package spokestall.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The voters that decide, with their place in the order of voter sets. Stored and sent in this order of fields.
 *
 * <p>Within a generation each epoch changes one voter slot: gives it another disk or another core, adds one, or removes one. The
 * next epoch's voter set is itself decided by a majority of this one, in the register {@link #key}. A new generation starts from
 * the state that survived the loss of a majority; it is decided outside of these registers (see {@code spokestall.membership}).
 *
 * @param generation which new start this is; versions and fencing tokens of a generation are above those of all earlier ones
 * @param epoch counts the changes within the generation
 * @param voters the voter slots, at most {@link #VOTERS_MAX}, with distinct names
 */
public record VoterSet(long generation, long epoch, List<Voter> voters) {
    /** By how many bits the generation is shifted up in versions and fencing tokens. */
    public static final int GENERATION_SHIFT = 20;
    /** The most voter slots of a voter set. */
    public static final int VOTERS_MAX = 63;

    /** What the keys of the registers that decide voter sets begin with. On the wire and on disk. */
    public static final String KEY_PREFIX = "voters/";

    /** Returns the key of the register that decides the voter set of this generation and epoch. On the wire and on disk. */
    public static String key(final long generation, final long epoch) {
        return KEY_PREFIX + generation + "/" + epoch;
    }

    /** Returns the lowest version and the lowest fencing token of this generation. */
    public long firstNumber() {
        return generation << GENERATION_SHIFT;
    }

    /** Returns how many voters a majority is; of six voters it is four. Any two majorities share a voter. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /**
     * Returns how many voters it takes to share one with every majority; of six voters it is three, of seven four. Whatever a
     * majority has accepted is known to one of so many.
     */
    public int intersectingQuorum() {
        return voters.size() - majority() + 1;
    }

    /** Returns whether this voter set replaces the other, which may be null. */
    public boolean newerThan(final VoterSet other) {
        return other == null || generation > other.generation || generation == other.generation && epoch > other.epoch;
    }

    /** Returns whether this is the voter set of the generation and epoch. */
    public boolean hasEpoch(final long otherGeneration, final long otherEpoch) {
        return generation == otherGeneration && epoch == otherEpoch;
    }

    /** Returns the slot of a core, or null if it has none. */
    public Voter voter(final String name) {
        for (final Voter voter : voters) {
            if (voter.name().equals(name)) {
                return voter;
            }
        }
        return null;
    }

    /** Returns the next epoch, in which a core votes with another disk. */
    public VoterSet withReplacedDisk(final Voter voter) {
        return withReplacedVoter(voter.name(), voter);
    }

    /** Returns the next epoch, with one slot more. */
    public VoterSet withAddedVoter(final Voter added) {
        assert voter(added.name()) == null && voters.size() < VOTERS_MAX : added;
        final List<Voter> next = new ArrayList<>(voters);
        next.add(added);
        return nextEpoch(next);
    }

    /** Returns the next epoch, in which the slot of one core is another's. */
    public VoterSet withReplacedVoter(final String replacedName, final Voter replacement) {
        assert voter(replacedName) != null : replacedName;
        assert replacedName.equals(replacement.name()) || voter(replacement.name()) == null : replacement;
        final List<Voter> next = new ArrayList<>(voters);
        next.replaceAll(voter -> voter.name().equals(replacedName) ? replacement : voter);
        return nextEpoch(next);
    }

    /**
     * Returns the next epoch, with one slot fewer. Only a voter set of an even number may lose one: its majority has one voter more
     * than the next one needs, so what a majority accepted is with a majority of those that stay.
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
