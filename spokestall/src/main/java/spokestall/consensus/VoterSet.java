package spokestall.consensus;

import java.util.ArrayList;
import java.util.List;

/** The table of voters. A generation starts from what was left after a loss; an epoch
 * changes one seat: swaps its disk, gives it to another core, adds one or removes one. */
public record VoterSet(long generation, long epoch, List<Voter> seats) {
    /** How far the generation is shifted up in versions and tokens. */
    public static final int GENERATION_SHIFT = 20;
    /** No table has more seats. */
    public static final int SEATS_MAX = 63;

    /** What the keys of the registers of tables begin with. */
    public static final String KEYS = "voters/";

    /** The key of the register that a table is agreed in. Example: {@code VoterSet.key(1700000000, 2)} */
    public static String key(final long generation, final long epoch) {
        return KEYS + generation + "/" + epoch;
    }

    /** The first number of this generation. Example: {@code long version = voters.firstNumber();} */
    public long firstNumber() {
        return generation << GENERATION_SHIFT;
    }

    /** Votes needed. Example: with six seats it is four. */
    public int majority() {
        return seats.size() / 2 + 1;
    }

    /** How many seats are in every majority's way: one of so many took part in whatever a majority did.
     * Example: with six seats it is three, with seven four. */
    public int meeting() {
        return seats.size() - majority() + 1;
    }

    /** Whether this table replaces the other. Example: {@code if (heard.newerThan(mine)) adopt(heard);} */
    public boolean newerThan(final VoterSet other) {
        return other == null || generation > other.generation || generation == other.generation && epoch > other.epoch;
    }

    /** Whether both stand for the same vote. Example: {@code if (!mine.same(ask.generation(), ask.epoch())) deny();} */
    public boolean same(final long otherGeneration, final long otherEpoch) {
        return generation == otherGeneration && epoch == otherEpoch;
    }

    /** A seat by its name, or null. Example: {@code voters.seat("d1-core").diskId()} */
    public Voter seat(final String name) {
        for (final Voter seat : seats) {
            if (seat.name().equals(name)) {
                return seat;
            }
        }
        return null;
    }

    /** The next epoch, with one seat's disk swapped. Example: {@code voters.swap(new Voter("d1-core", at, disk))} */
    public VoterSet swap(final Voter fresh) {
        return replace(fresh.name(), fresh);
    }

    /** The next epoch, with one seat more. Example: {@code voters.add(new Voter("d7-core", at, disk))} */
    public VoterSet add(final Voter fresh) {
        assert seat(fresh.name()) == null && seats.size() < SEATS_MAX : fresh;
        final List<Voter> next = new ArrayList<>(seats);
        next.add(fresh);
        return new VoterSet(generation, epoch + 1, next);
    }

    /** The next epoch, with the seat of a core that is gone given to another. Example:
     * {@code voters.replace("d1-core", new Voter("d1-core-2", at, disk))} */
    public VoterSet replace(final String goneSeatName, final Voter fresh) {
        assert seat(goneSeatName) != null : goneSeatName;
        assert goneSeatName.equals(fresh.name()) || seat(fresh.name()) == null : fresh;
        final List<Voter> next = new ArrayList<>(seats);
        next.replaceAll(s -> s.name().equals(goneSeatName) ? fresh : s);
        return new VoterSet(generation, epoch + 1, next);
    }

    /** The next epoch, with one seat fewer. Only a table of an even number may lose one: its majority has a seat more
     * than the next one needs, so what a majority accepted is with a majority of those that stay.
     * Example: {@code voters.remove("d1-core")} */
    public VoterSet remove(final String goneSeatName) {
        assert seat(goneSeatName) != null && seats.size() % 2 == 0 : goneSeatName;
        final List<Voter> next = new ArrayList<>(seats);
        next.removeIf(s -> s.name().equals(goneSeatName));
        return new VoterSet(generation, epoch + 1, next);
    }
}
