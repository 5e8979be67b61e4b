package spokestall.membership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * Founds the first generation of a fleet whose size nobody was told: proposes the cores it has heard, once no new one has
 * come for a while, to the seeds. A majority of the seeds' {@link BootstrapAcceptor}s decides; whoever is not in the table joins it.
 */
public final class BootstrapProposer {
    /** Explicit states. */
    private enum Phase {
        IDLE,
        ASK,
        OFFER,
        FOUNDED
    }

    /** Spans, from the settings. */
    public record Timing(long sinceStartMs, long settleMs, long roundMs) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String name;
    private final String address;
    private final String proposerId;
    private final List<String> seeds;
    private final MessageSender sender;
    private final Clock clock;
    private final Timing timing;
    private final Function<List<Voter>, InitialState> make;
    private final long startedMs;
    private final Map<String, Voter> known = new TreeMap<>();
    private final Map<String, BootstrapMessage.Promise> promises = new TreeMap<>();
    private final Set<String> taken = new HashSet<>();
    private Phase phase = Phase.IDLE;
    private ProposalNumber proposalNumber = ProposalNumber.NONE;
    private long count;
    private long changedMs;
    private long phaseMs;
    private InitialState proposed;

    /** Example: see {@code Node}; {@code make} makes a founding of the seats. */
    public BootstrapProposer(
            final String name,
            final String address,
            final String proposerId,
            final List<String> seeds,
            final MessageSender sender,
            final Clock clock,
            final Timing timing,
            final Function<List<Voter>, InitialState> make) {
        this.name = name;
        this.address = address;
        this.proposerId = proposerId;
        this.seeds = seeds.stream().sorted().distinct().toList();
        this.sender = sender;
        this.clock = clock;
        this.timing = timing;
        this.make = make;
        this.startedMs = clock.nowMs();
        this.changedMs = startedMs;
    }

    private void change(final Phase to, final String why) {
        LOG.atInfo().log("event=founder node=%s from=%s to=%s why=%s", name, phase, to, why);
        phase = to;
        phaseMs = clock.nowMs();
    }

    /** One beat while no table is known, with the cores that may be in the first one. */
    public void tick(final Map<String, Voter> blanks) {
        final long nowMs = clock.nowMs();
        if (!known.keySet().containsAll(blanks.keySet())) {
            changedMs = nowMs;
        }
        known.clear();
        known.putAll(blanks);
        if (phase == Phase.ASK || phase == Phase.OFFER) {
            if (nowMs - phaseMs >= timing.roundMs()) {
                change(Phase.IDLE, "round-over");
            }
            return;
        }
        final long waitMs = new ArrayList<>(known.keySet()).indexOf(name) * timing.roundMs();
        if (phase == Phase.IDLE
                && known.containsKey(name)
                && known.size() >= Math.min(2, seeds.size())
                && known.size() <= VoterSet.VOTERS_MAX
                && nowMs - startedMs >= timing.sinceStartMs()
                && nowMs - changedMs >= timing.settleMs() + waitMs
                && nowMs - phaseMs >= waitMs) {
            ask();
        }
    }

    private void ask() {
        proposalNumber = new ProposalNumber(++count, proposerId);
        promises.clear();
        taken.clear();
        change(Phase.ASK, "cores-" + known.size());
        for (final String seed : seeds) {
            sender.send(seed, new BootstrapMessage.Prepare(address, seeds, proposalNumber));
        }
    }

    private int majority() {
        return seeds.size() / 2 + 1;
    }

    /** Hears a seed. */
    public void hear(final BootstrapMessage message) {
        if (message instanceof BootstrapMessage.Promise p && seeds.contains(p.seed())) {
            if (phase == Phase.ASK && p.proposalNumber().equals(proposalNumber) && p.granted()) {
                promises.put(p.seed(), p);
                if (promises.size() >= majority()) {
                    offer();
                }
            }
            count = Math.max(count, p.promised().count());
        } else if (message instanceof BootstrapMessage.Accepted t && seeds.contains(t.seed())) {
            if (phase == Phase.OFFER && t.proposalNumber().equals(proposalNumber) && t.granted()) {
                taken.add(t.seed());
                if (taken.size() >= majority()) {
                    change(Phase.FOUNDED, "taken");
                    for (final Voter voter : proposed.voterSet().voters()) {
                        sender.send(voter.address(), new MembershipMessage.GenerationStarted(proposed));
                    }
                    if (proposed.voterSet().voter(name) == null) {
                        sender.send(address, new MembershipMessage.GenerationStarted(proposed));
                    }
                }
            }
            count = Math.max(count, t.promised().count());
        }
    }

    private void offer() {
        BootstrapMessage.Promise highest = null;
        for (final BootstrapMessage.Promise p : promises.values()) {
            if (p.initialState() != null && (highest == null || p.accepted().compareTo(highest.accepted()) > 0)) {
                highest = p;
            }
        }
        proposed = highest != null ? highest.initialState() : make.apply(List.copyOf(known.values()));
        change(Phase.OFFER, highest != null ? "finishing" : "promised");
        for (final String seed : seeds) {
            sender.send(seed, new BootstrapMessage.Accept(address, seeds, proposalNumber, proposed));
        }
    }
}
