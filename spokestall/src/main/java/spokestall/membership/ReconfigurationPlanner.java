package spokestall.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;

/**
 * Decides which one seat the next epoch's table changes. A seat counts as silent, or as gone, only when a majority of the
 * seats say so under the very same table. It decides only: a table is agreed in its register.
 */
final class ReconfigurationPlanner {
    private final String name;
    private final ToIntFunction<List<Voter>> mostLost;

    /** {@code mostLost}: how many of these seats the largest loss that must be borne can take. */
    ReconfigurationPlanner(final String name, final ToIntFunction<List<Voter>> mostLost) {
        this.name = name;
        this.mostLost = mostLost;
    }

    /** The table with this core's seat in it, or none while it should wait: the seat of its own name, else the seat of a
     * core that is gone, else one more. A seat is added while others are unheard only once it has waited long enough
     * that they would have been called silent. */
    Optional<VoterSet> joined(
            final VoterSet table,
            final Voter own,
            final Map<String, MembershipMessage.VoterStatus> fresh,
            final boolean waited) {
        if (table.voter(name) != null) {
            return Optional.of(table.withReplacedDisk(own));
        }
        for (final Voter voter : table.voters()) {
            if (voter.address().equals(own.address())) {
                return Optional.of(table.withReplacedVoter(voter.name(), own));
            }
        }
        for (int place = 0; place < table.voters().size(); place++) {
            final String voter = table.voters().get(place).name();
            if (!fresh.containsKey(voter) && agreed(table, fresh, place, MembershipMessage.VoterStatus::silentVoters)) {
                return Optional.of(table.withReplacedVoter(voter, own));
            }
        }
        final boolean allHeard = table.voters().stream().allMatch(voter -> fresh.containsKey(voter.name()));
        return (allHeard || waited) && helps(table, own, fresh)
                ? Optional.of(table.withAddedVoter(own))
                : Optional.empty();
    }

    /** Whether one seat more is no harm: the table bears the largest loss with all seats that are waited for, or doesn't
     * bear it now. A third seat of four in one region would be a majority's end with that region. */
    private boolean helps(
            final VoterSet table, final Voter own, final Map<String, MembershipMessage.VoterStatus> fresh) {
        if (table.voters().size() >= VoterSet.VOTERS_MAX) {
            return false;
        }
        VoterSet all = table.withAddedVoter(own);
        for (final MembershipMessage.VoterStatus s : fresh.values()) {
            final boolean waits = s.canWrite() && all.voter(s.name()) == null;
            if (waits && all.voters().size() < VoterSet.VOTERS_MAX) {
                all = all.withAddedVoter(new Voter(s.name(), s.address(), s.diskId()));
            }
        }
        return bears(all) || bears(table.withAddedVoter(own)) || !bears(table);
    }

    /** The table without a seat that is gone, or none. An odd table keeps it: with one seat silent it needs as many votes
     * as the even one below it. */
    Optional<VoterSet> thinned(final VoterSet table, final Map<String, MembershipMessage.VoterStatus> fresh) {
        if (table.voters().size() % 2 != 0 || !proposes(table, fresh) || joinerWaits(table, fresh)) {
            return Optional.empty();
        }
        for (int place = 0; place < table.voters().size(); place++) {
            final String voter = table.voters().get(place).name();
            if (!fresh.containsKey(voter) && agreed(table, fresh, place, MembershipMessage.VoterStatus::goneVoters)) {
                final VoterSet next = table.withRemovedVoter(voter);
                return bears(next) ? Optional.of(next) : Optional.empty();
            }
        }
        return Optional.empty();
    }

    /** Whether a majority is left after the largest loss that must be borne. */
    private boolean bears(final VoterSet table) {
        return table.voters().size() - mostLost.applyAsInt(table.voters()) >= table.majority();
    }

    /** The first by name of those that vote, so that they don't all propose the same at once. */
    private boolean proposes(final VoterSet table, final Map<String, MembershipMessage.VoterStatus> fresh) {
        for (final MembershipMessage.VoterStatus s : fresh.values()) {
            if (votes(table, s)) {
                return s.name().equals(name);
            }
        }
        return false;
    }

    /** A core without a seat takes the one that is gone. */
    private static boolean joinerWaits(final VoterSet table, final Map<String, MembershipMessage.VoterStatus> fresh) {
        return fresh.values().stream().anyMatch(s -> table.voter(s.name()) == null && s.canWrite());
    }

    private static boolean agreed(
            final VoterSet table,
            final Map<String, MembershipMessage.VoterStatus> fresh,
            final int place,
            final ToLongFunction<MembershipMessage.VoterStatus> places) {
        int say = 0;
        for (final MembershipMessage.VoterStatus s : fresh.values()) {
            say += votes(table, s) && (places.applyAsLong(s) >> place & 1) == 1 ? 1 : 0;
        }
        return say >= table.majority();
    }

    private static boolean votes(final VoterSet table, final MembershipMessage.VoterStatus s) {
        final Voter voter = table.voter(s.name());
        return s.voting()
                && voter != null
                && voter.diskId().equals(s.diskId())
                && table.hasEpoch(s.generation(), s.epoch());
    }
}
