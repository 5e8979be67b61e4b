package spokestall.membership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * Proposes the first generation of a fleet whose number of cores is not configured.
 *
 * <p>Once no new core has reported for {@link Timeouts#settleMillis}, it proposes the cores it knows as voters, and the
 * {@link BootstrapAcceptor}s of a majority of the seeds decide. A core that is not among those voters joins later by a
 * reconfiguration. Transitions:
 *
 * <pre>
 * IDLE -> PREPARING        enough cores are known and no further core has reported for the settle time
 * PREPARING -> ACCEPTING   a majority of the seeds promised
 * ACCEPTING -> CHOSEN      a majority of the seeds accepted
 * PREPARING, ACCEPTING -> IDLE   the round timed out
 * </pre>
 *
 * <p>The proposer stores nothing on disk, since each proposer id is used by one incarnation only. Not thread-safe; all calls on
 * the node's event loop.
 */
public final class BootstrapProposer {
    private enum Phase {
        IDLE,
        PREPARING,
        ACCEPTING,
        CHOSEN
    }

    /**
     * Timeouts, in milliseconds.
     *
     * @param startDelayMillis minimum time from the start of this incarnation to its first proposal
     * @param settleMillis time without a new core after which the set of known cores counts as settled
     * @param roundMillis timeout of each phase; also the delay between proposers, by their rank among the cores
     */
    public record Timeouts(long startDelayMillis, long settleMillis, long roundMillis) {}

    /** Builds the initial state of the first generation. */
    @FunctionalInterface
    public interface InitialStateFactory {
        /** Creates an initial state with exactly these voters. */
        InitialState create(List<Voter> voters);
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /**
     * Minimum number of known cores, unless there is only one seed. With fewer, a core could bootstrap the fleet alone before it
     * has received a status from any other core.
     */
    private static final int MIN_CORES = 2;

    private final LocalNode local;
    private final List<String> seeds;
    private final MessageSender sender;
    private final Clock clock;
    private final Timeouts timeouts;
    private final InitialStateFactory initialStates;
    private final long startedMillis;
    private final Map<String, Voter> candidates = new TreeMap<>();
    private final Map<String, BootstrapMessage.Promise> promises = new TreeMap<>();
    private final Set<String> acceptedBy = new HashSet<>();
    private Phase phase = Phase.IDLE;
    private ProposalNumber proposalNumber = ProposalNumber.NONE;
    private long highestSeenCount;
    private long candidatesChangedMillis;
    private long phaseStartedMillis;
    private InitialState proposed;

    /**
     * Creates a proposer in phase IDLE. Only a core that is configured for the fleet's first start and has a blank disk may have
     * one.
     */
    public BootstrapProposer(
            final LocalNode local,
            final List<String> seeds,
            final MessageSender sender,
            final Clock clock,
            final Timeouts timeouts,
            final InitialStateFactory initialStates) {
        this.local = local;
        this.seeds = seeds.stream().sorted().distinct().toList();
        this.sender = sender;
        this.clock = clock;
        this.timeouts = timeouts;
        this.initialStates = initialStates;
        this.startedMillis = clock.nowMs();
        this.candidatesChangedMillis = startedMillis;
    }

    private void transitionTo(final Phase next, final String reason) {
        assert next == Phase.IDLE && phase != Phase.CHOSEN || next.ordinal() == phase.ordinal() + 1
                : phase + " -> " + next;
        LOG.atInfo().log(
                "event=bootstrap node=%s from=%s to=%s reason=%s proposal=%s",
                local.name(), phase, next, reason, proposalNumber);
        phase = next;
        phaseStartedMillis = clock.nowMs();
    }

    /**
     * Advances the proposal. Called while this core knows no voter set; {@code currentCandidates} are the cores, by name, that may
     * become voters of the first one.
     */
    public void onTick(final Map<String, Voter> currentCandidates) {
        final long nowMillis = clock.nowMs();
        if (!candidates.keySet().containsAll(currentCandidates.keySet())) {
            candidatesChangedMillis = nowMillis;
        }
        candidates.clear();
        candidates.putAll(currentCandidates);
        switch (phase) {
            case IDLE -> {
                if (mayPropose(nowMillis)) {
                    prepare();
                }
            }
            case PREPARING, ACCEPTING -> {
                if (nowMillis - phaseStartedMillis >= timeouts.roundMillis()) {
                    transitionTo(Phase.IDLE, "round_timed_out");
                }
            }
            case CHOSEN -> {
                // The voters send each other the initial state; there is nothing left to propose.
            }
        }
    }

    private boolean mayPropose(final long nowMillis) {
        final int rank = new ArrayList<>(candidates.keySet()).indexOf(local.name());
        final long staggerMillis = rank * timeouts.roundMillis();
        return rank >= 0
                && candidates.size() >= Math.min(MIN_CORES, seeds.size())
                && candidates.size() <= VoterSet.VOTERS_MAX
                && nowMillis - startedMillis >= timeouts.startDelayMillis()
                && nowMillis - candidatesChangedMillis >= timeouts.settleMillis() + staggerMillis
                && nowMillis - phaseStartedMillis >= staggerMillis;
    }

    private void prepare() {
        proposalNumber = new ProposalNumber(++highestSeenCount, local.proposerId());
        promises.clear();
        acceptedBy.clear();
        transitionTo(Phase.PREPARING, "candidates-" + candidates.size());
        for (final String seed : seeds) {
            sender.send(seed, new BootstrapMessage.Prepare(local.address(), seeds, proposalNumber));
        }
    }

    private int majority() {
        return seeds.size() / 2 + 1;
    }

    /** Handles a seed's reply; ignores requests of other proposers and replies from nodes that are not seeds. */
    public void onMessage(final BootstrapMessage message) {
        if (message instanceof BootstrapMessage.Promise promise && seeds.contains(promise.seed())) {
            onPromise(promise);
        } else if (message instanceof BootstrapMessage.Accepted reply && seeds.contains(reply.seed())) {
            onAccepted(reply);
        }
    }

    private void onPromise(final BootstrapMessage.Promise promise) {
        if (phase == Phase.PREPARING && promise.proposalNumber().equals(proposalNumber) && promise.granted()) {
            promises.put(promise.seed(), promise);
            if (promises.size() >= majority()) {
                accept();
            }
        }
        highestSeenCount = Math.max(highestSeenCount, promise.promised().count());
    }

    /**
     * Sends phase two. If any seed has accepted a state already, proposes the one with the highest number again, since a majority
     * may have accepted that state.
     */
    private void accept() {
        BootstrapMessage.Promise highest = null;
        for (final BootstrapMessage.Promise promise : promises.values()) {
            if (promise.initialState() != null
                    && (highest == null || promise.accepted().compareTo(highest.accepted()) > 0)) {
                highest = promise;
            }
        }
        proposed = highest != null ? highest.initialState() : initialStates.create(List.copyOf(candidates.values()));
        transitionTo(Phase.ACCEPTING, highest != null ? "promised_with_accepted_state" : "promised");
        for (final String seed : seeds) {
            sender.send(seed, new BootstrapMessage.Accept(local.address(), seeds, proposalNumber, proposed));
        }
    }

    private void onAccepted(final BootstrapMessage.Accepted reply) {
        if (phase == Phase.ACCEPTING && reply.proposalNumber().equals(proposalNumber) && reply.granted()) {
            acceptedBy.add(reply.seed());
            if (acceptedBy.size() >= majority()) {
                transitionTo(Phase.CHOSEN, "accepted");
                announce();
            }
        }
        highestSeenCount = Math.max(highestSeenCount, reply.promised().count());
    }

    private void announce() {
        final MembershipMessage.GenerationStarted started = new MembershipMessage.GenerationStarted(proposed);
        for (final Voter voter : proposed.voterSet().voters()) {
            sender.send(voter.address(), started);
        }
        if (proposed.voterSet().voter(local.name()) == null) {
            sender.send(local.address(), started);
        }
    }
}
