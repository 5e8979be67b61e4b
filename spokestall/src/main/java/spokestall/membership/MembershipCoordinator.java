package spokestall.membership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.RegisterEdit;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.Fingerprints;
import spokestall.message.MessageCodec;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * How the cores become voters: the first table, the swap of a lost disk's seat, a seat more, and a new generation when so many
 * disks are lost that no majority with state can be. A core that takes part in a new generation's proposal number has resigned
 * from the old one first, so the two can never both have a majority.
 */
public final class MembershipCoordinator {
    /** Explicit states of the new generation's proposer. */
    private enum Phase {
        IDLE,
        GATHER,
        PREPARE,
        ACCEPT
    }

    /** Makes a founding out of what is left. */
    public interface Merger {
        /** Example: {@code merger.merge(base, survivingState, voters)} */
        InitialState merge(long base, List<SurvivingState> survivingState, List<Voter> voters);
    }

    /** Spans and sizes, from the settings; cores is 0 if nobody said how many. A settled core says its standing each
     * sayMs, always with its table if others read the older form only. A seat unheard for silentMs may be given to a core
     * that joins, one unheard for goneMs given up. */
    public record Timing(
            int cores,
            long freshMs,
            long settleMs,
            long waitAllMs,
            long roundMs,
            long sayMs,
            boolean alwaysTable,
            long silentMs,
            long goneMs) {}

    /** What an acceptor keeps on disk about a new generation's proposal number. */
    record Kept(long base, ProposalNumber promised, ProposalNumber accepted, InitialState founding) {}

    /** What a core said last, and how far its disk was written at the most. */
    private record Heard(MembershipMessage.VoterStatus voterStatus, long heardMs, long written) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    public static final String FORM = "~form";
    /** So many rounds a founding waits for a core that is heard and has state but does not promise. */
    private static final int ROUNDS_WAITED = 4;

    private final String name;
    private final String address;
    private final String by;
    private final Acceptor acceptor;
    private final Proposer proposer;
    private final MessageSender post;
    private final Clock clock;
    private final Timing timing;
    private final Merger merger;
    private final Supplier<SurvivingState> own;
    private final Supplier<List<String>> others;
    private final Supplier<List<String>> cores;
    private final BootstrapProposer bootstrapProposer;
    private final Supplier<String> freshId;
    private final BooleanSupplier ready;
    private final ReconfigurationPlanner membership;
    private final PeerLiveness silence;
    private final Map<String, Heard> heard = new TreeMap<>();
    private final Map<String, SurvivingState> survivingState = new TreeMap<>();
    private final Map<String, MembershipMessage.GenerationPromise> promises = new TreeMap<>();
    private final Set<String> accepted = new HashSet<>();
    /** Rounds of a founding that this core began and that came to nothing. */
    private int roundsWaited;

    private Kept kept;
    private Phase phase = Phase.IDLE;
    private ProposalNumber proposalNumber = ProposalNumber.NONE;
    private long base;
    private long phaseMs;
    private long count;
    private long wantedSinceMs = -1;
    private long stuckSinceMs = -1;
    private boolean changing;
    private long unseatedSinceMs = -1;
    private InitialState proposed;
    private InitialState founded;
    private MembershipMessage.VoterStatus said;
    private long saidMs = Long.MIN_VALUE / 2;
    private long changedMs;

    /** {@code others} are all other nodes known, {@code cores} the cores among them; {@code bootstrapProposer} is null on a core
     * that may not found the first generation by the seeds; {@code mostLost} tells how many of some seats the largest loss
     * that must be borne can take. Example: see {@code Node}, which joins it to the voter, the proposer and the view. */
    public MembershipCoordinator(
            final String name,
            final String address,
            final String by,
            final Acceptor acceptor,
            final Proposer proposer,
            final MessageSender post,
            final Clock clock,
            final Timing timing,
            final Merger merger,
            final Supplier<SurvivingState> own,
            final Supplier<List<String>> others,
            final Supplier<List<String>> cores,
            final BootstrapProposer bootstrapProposer,
            final Supplier<String> freshId,
            final BooleanSupplier ready,
            final ToIntFunction<List<Voter>> mostLost) {
        this.name = name;
        this.address = address;
        this.by = by;
        this.acceptor = acceptor;
        this.proposer = proposer;
        this.post = post;
        this.clock = clock;
        this.timing = timing;
        this.merger = merger;
        this.own = own;
        this.others = others;
        this.cores = cores;
        this.bootstrapProposer = bootstrapProposer;
        this.freshId = freshId;
        this.ready = ready;
        this.membership = new ReconfigurationPlanner(name, mostLost);
        this.silence = new PeerLiveness(timing.sayMs());
        final byte[] had = acceptor.localRecord(FORM);
        kept = had == null ? null : MessageCodec.decodeRecord(had, Kept.class);
        if (kept != null && kept.base == generation()) {
            acceptor.resign(kept.base);
        }
    }

    private long generation() {
        return acceptor.voterSet() == null ? 0 : acceptor.voterSet().generation();
    }

    /** What this core says of itself. */
    public MembershipMessage.VoterStatus voterStatus() {
        return new MembershipMessage.VoterStatus(
                name,
                address,
                acceptor.diskId(),
                acceptor.voterSet(),
                acceptor.hasState(),
                acceptor.state() == Acceptor.State.VOTING,
                acceptor.canWrite(),
                0,
                0,
                bootstrapProposer != null && acceptor.voterSet() == null,
                acceptor.isCatchingUp(),
                unheard(timing.silentMs()),
                unheard(timing.goneMs()),
                0,
                0,
                0);
    }

    private long unheard(final long boundMs) {
        final VoterSet table = acceptor.voterSet();
        return table == null ? 0 : silence.silentVoters(table, name, boundMs, clock.nowMs());
    }

    private void say(final String to, final MembershipMessage.VoterStatus what) {
        MembershipMessage.VoterStatus with = what.written(acceptor.syncedSeq(), 0, 0);
        for (final Heard h : heard.values()) {
            if (h.voterStatus.address().equals(to)) {
                with = what.written(acceptor.syncedSeq(), Fingerprints.of(h.voterStatus.diskId()), h.written);
            }
        }
        post.send(to, with);
    }

    /** Whether so many others have spoken in this life that one of any majority has: had this disk been written further
     * than it is, one of them would have said so before the first vote. */
    public boolean checked() {
        final VoterSet table = acceptor.voterSet();
        if (table == null) {
            return false;
        }
        int told = 0;
        for (final Voter voter : table.voters()) {
            told += !voter.name().equals(name) && heard.containsKey(voter.name()) ? 1 : 0;
        }
        return told >= table.majority() - 1;
    }

    /** What this core once promised may not be on a disk that was put back to an older state: it starts over. */
    private void older(final MembershipMessage.VoterStatus s) {
        LOG.atSevere().log(
                "event=disk_older node=%s written=%s heard=%s from=%s",
                name, acceptor.syncedSeq(), s.yourWritten(), s.name());
        kept = null;
        acceptor.resetIdentity(freshId.get());
        acceptor.putLocalRecord(FORM, null, ok -> {});
    }

    /** The cores heard of late, by name, with what they said. */
    public Map<String, MembershipMessage.VoterStatus> fresh() {
        final Map<String, MembershipMessage.VoterStatus> fresh = new TreeMap<>();
        heard.forEach((peer, h) -> {
            if (clock.nowMs() - h.heardMs <= timing.freshMs()) {
                fresh.put(peer, h.voterStatus);
            }
        });
        fresh.put(name, voterStatus());
        return fresh;
    }

    /** Takes a newer table from anywhere. */
    public void adopt(final VoterSet table) {
        final boolean newer = table.newerThan(acceptor.voterSet());
        acceptor.updateVoterSet(table);
        proposer.updateVoterSet(table);
        if (newer) {
            for (final String key : List.copyOf(
                    acceptor.registers().tailMap(VoterSet.KEY_PREFIX).keySet())) {
                if (key.startsWith(VoterSet.KEY_PREFIX)) {
                    acceptor.removeRegister(key);
                }
            }
            change(Phase.IDLE, "table");
        }
    }

    private void change(final Phase to, final String why) {
        if (phase != to || to != Phase.IDLE) {
            LOG.atInfo().log("event=formation node=%s from=%s to=%s why=%s base=%s", name, phase, to, why, base);
        }
        phase = to;
        phaseMs = clock.nowMs();
    }

    /** Says its standing to the cores, often only while something moves; to edges only while it knows no table, since
     * theirs may be the last there is. */
    private void say() {
        final long nowMs = clock.nowMs();
        final MembershipMessage.VoterStatus mine = voterStatus();
        if (!mine.equals(said)) {
            said = mine;
            changedMs = nowMs;
        }
        final boolean settled = phase == Phase.IDLE
                && nowMs - changedMs > 3 * timing.sayMs()
                && (acceptor.state() == Acceptor.State.VOTING || acceptor.state() == Acceptor.State.STOPPED);
        if (settled && nowMs - saidMs < timing.sayMs()) {
            return;
        }
        final boolean edgesToo = mine.table() == null && nowMs / timing.sayMs() != saidMs / timing.sayMs();
        saidMs = nowMs;
        final Set<String> have = new HashSet<>();
        heard.values().forEach(h -> {
            if (!h.voterStatus.lacks(mine.table())) {
                have.add(h.voterStatus.address());
            }
        });
        final MembershipMessage.VoterStatus lean = timing.alwaysTable()
                ? mine
                : new MembershipMessage.VoterStatus(
                        name,
                        address,
                        mine.diskId(),
                        null,
                        mine.hasState(),
                        mine.voting(),
                        mine.canWrite(),
                        mine.generation(),
                        mine.epoch(),
                        mine.founding(),
                        mine.catchingUp(),
                        mine.silentVoters(),
                        mine.goneVoters(),
                        0,
                        0,
                        0);
        for (final String other : edgesToo ? others.get() : cores.get()) {
            say(other, have.contains(other) ? lean : mine);
        }
    }

    /** One beat: says its standing, joins, or starts a new generation. */
    public void tick() {
        if (acceptor.voterSet() != null) {
            silence.tick(acceptor.voterSet(), clock.nowMs());
        }
        say();
        acceptor.onTick(address);
        final Map<String, MembershipMessage.VoterStatus> fresh = fresh();
        if (founded != null
                && founded.table().voters().stream()
                        .allMatch(voter -> fresh.containsKey(voter.name())
                                && fresh.get(voter.name()).hasState())) {
            founded = null;
        }
        if (acceptor.voterSet() == null && timing.cores() == 0) {
            if (bootstrapProposer != null && acceptor.canWrite() && ready.getAsBoolean()) {
                bootstrapProposer.tick(blanks(fresh));
            }
        } else if (phase != Phase.IDLE) {
            advance(fresh);
        } else if (wanted(fresh)) {
            consider(fresh);
        } else {
            wantedSinceMs = -1;
            changeVoters(fresh);
        }
    }

    private static Map<String, Voter> blanks(final Map<String, MembershipMessage.VoterStatus> fresh) {
        final Map<String, Voter> blanks = new TreeMap<>();
        fresh.forEach((peer, s) -> {
            if (s.founding() && s.canWrite()) {
                blanks.put(peer, new Voter(peer, s.address(), s.diskId()));
            }
        });
        return blanks;
    }

    /** How many take part in a new generation's proposal number: the seats of the table that it ends. */
    private int size() {
        return acceptor.voterSet() == null
                ? timing.cores()
                : acceptor.voterSet().voters().size();
    }

    private int majority() {
        return size() / 2 + 1;
    }

    private boolean elects(final String core) {
        return acceptor.voterSet() == null
                ? timing.cores() != 0
                : acceptor.voterSet().voter(core) != null;
    }

    /** True when no majority with state can be put together from the cores there are. */
    private boolean wanted(final Map<String, MembershipMessage.VoterStatus> fresh) {
        if (!acceptor.canWrite() || !ready.getAsBoolean() || !elects(name)) {
            return false;
        }
        int canWrite = 0;
        int withState = 0;
        int catchingUp = 0;
        for (final MembershipMessage.VoterStatus s : fresh.values()) {
            if (s.newerThan(acceptor.voterSet())) {
                return false;
            }
            if (elects(s.name())) {
                final boolean same = s.generation() > 0 && s.generation() == generation();
                canWrite += s.canWrite() ? 1 : 0;
                withState += s.hasState() && same ? 1 : 0;
                catchingUp += s.catchingUp() && !s.hasState() && same ? 1 : 0;
            }
        }
        if (acceptor.voterSet() == null) {
            return canWrite == timing.cores();
        }
        // Whoever has a seat and still catches up will have its state, as long as enough are there to read from.
        final int soon = withState >= acceptor.voterSet().intersectingQuorum() ? withState + catchingUp : withState;
        return canWrite >= majority() && canWrite - soon > size() - majority();
    }

    private void consider(final Map<String, MembershipMessage.VoterStatus> fresh) {
        final long nowMs = clock.nowMs();
        if (wantedSinceMs < 0) {
            wantedSinceMs = nowMs;
        }
        final int rank = new ArrayList<>(fresh.keySet()).indexOf(name);
        final long waitMs = (fresh.size() >= size() ? timing.settleMs() : timing.waitAllMs()) + rank * timing.roundMs();
        if (nowMs - wantedSinceMs >= waitMs) {
            base = generation();
            survivingState.clear();
            for (final String other : others.get()) {
                post.send(other, new MembershipMessage.SurvivingStateRequest(address));
            }
            change(Phase.GATHER, "no-majority-with-state");
        }
    }

    private void advance(final Map<String, MembershipMessage.VoterStatus> fresh) {
        final long spentMs = clock.nowMs() - phaseMs;
        if (phase == Phase.GATHER && spentMs >= timing.settleMs()) {
            prepare(fresh);
        } else if (phase == Phase.PREPARE
                && promises.size() >= majority()
                && !awaitsState(fresh)
                && (promises.size() >= fresh.size() || spentMs >= timing.settleMs())) {
            propose();
        } else if (phase != Phase.GATHER && spentMs >= 2 * timing.roundMs()) {
            wantedSinceMs = -1;
            roundsWaited++;
            change(Phase.IDLE, "round-over");
        }
    }

    /** Whether a core that told of its state and is still heard has not promised yet: it is slow, and until it has promised
     * it may confirm what no other has. */
    private boolean awaitsState(final Map<String, MembershipMessage.VoterStatus> fresh) {
        return roundsWaited < ROUNDS_WAITED
                && survivingState.values().stream()
                        .anyMatch(r -> r.hasState()
                                && r.generation() == base
                                && elects(r.name())
                                && fresh.containsKey(r.name())
                                && !promises.containsKey(r.name()));
    }

    private void prepare(final Map<String, MembershipMessage.VoterStatus> fresh) {
        count = Math.max(count, kept == null ? 0 : kept.promised.count()) + 1;
        proposalNumber = new ProposalNumber(count, by);
        promises.clear();
        accepted.clear();
        change(Phase.PREPARE, "gathered");
        final long epoch = acceptor.voterSet() == null ? 0 : acceptor.voterSet().epoch();
        for (final MembershipMessage.VoterStatus s : fresh.values()) {
            if (elects(s.name())) {
                post.send(s.address(), new MembershipMessage.GenerationPrepare(address, base, proposalNumber, epoch));
            }
        }
    }

    private void propose() {
        MembershipMessage.GenerationPromise highest = null;
        final List<Voter> voters = new ArrayList<>();
        final List<SurvivingState> left = new ArrayList<>(survivingState.values());
        for (final MembershipMessage.GenerationPromise p : promises.values()) {
            if (p.founding() != null && (highest == null || p.accepted().compareTo(highest.accepted()) > 0)) {
                highest = p;
            }
            voters.add(new Voter(p.name(), p.address(), p.diskId()));
            left.add(p.survivingState());
        }
        if (acceptor.voterSet() != null) {
            for (final Voter old : acceptor.voterSet().voters()) {
                if (!promises.containsKey(old.name())) {
                    voters.add(new Voter(old.name(), old.address(), ""));
                }
            }
        }
        proposed = highest != null ? highest.founding() : merger.merge(base, left, voters);
        change(Phase.ACCEPT, "promised-by-" + promises.size());
        for (final Voter voter : voters) {
            post.send(voter.address(), new MembershipMessage.GenerationAccept(address, base, proposalNumber, proposed));
        }
    }

    /** Hears the other cores. */
    public void hear(final MembershipMessage message) {
        if (message instanceof MembershipMessage.VoterStatus s) {
            voterStatus(s);
        } else if (message instanceof MembershipMessage.GenerationPrepare p) {
            prepare(p);
        } else if (message instanceof MembershipMessage.GenerationPromise p) {
            promise(p);
        } else if (message instanceof MembershipMessage.GenerationAccept a) {
            accept(a);
        } else if (message instanceof MembershipMessage.GenerationAccepted a) {
            accepted(a);
        } else if (message instanceof MembershipMessage.GenerationStarted f) {
            found(f.founding());
        } else if (message instanceof MembershipMessage.SurvivingStateResponse back && phase == Phase.GATHER) {
            survivingState.put(back.survivingState().name(), back.survivingState());
        }
    }

    private void voterStatus(final MembershipMessage.VoterStatus s) {
        if (heard.size() >= 4 * VoterSet.VOTERS_MAX && !heard.containsKey(s.name())) {
            return;
        }
        silence.heard(s.name(), clock.nowMs());
        if (s.heardFurther(acceptor.diskId(), acceptor.syncedSeq()) && acceptor.canWrite()) {
            older(s);
        }
        final Heard had = heard.get(s.name());
        final boolean sameDisk = had != null && had.voterStatus.diskId().equals(s.diskId());
        heard.put(s.name(), new Heard(s, clock.nowMs(), sameDisk ? Math.max(had.written, s.written()) : s.written()));
        if (s.newerThan(acceptor.voterSet())) {
            if (s.table() != null) {
                adopt(s.table());
            } else {
                say(s.address(), voterStatus());
            }
        } else if (s.lacks(acceptor.voterSet())) {
            post.send(
                    s.address(),
                    missedFounding(s)
                            ? new MembershipMessage.GenerationStarted(founded)
                            : new ConsensusMessage.VoterSetUpdate(acceptor.voterSet()));
        } else if (missedFounding(s)) {
            post.send(s.address(), new MembershipMessage.GenerationStarted(founded));
        }
        if (had == null || clock.nowMs() - had.heardMs > timing.freshMs()) {
            // Whoever has just come should not have to wait for the next beat.
            say(s.address(), voterStatus());
        }
    }

    /** A seat of the first table that has not voted yet must have missed what it starts from. */
    private boolean missedFounding(final MembershipMessage.VoterStatus s) {
        final Voter voter = founded == null || founded.table().generation() != generation()
                ? null
                : founded.table().voter(s.name());
        return voter != null
                && voter.diskId().equals(s.diskId())
                && !s.hasState()
                && (s.generation() == 0 || s.generation() <= generation());
    }

    private void prepare(final MembershipMessage.GenerationPrepare p) {
        // A proposal number by an older table would have other voters: none is given once a newer one is known.
        final boolean older = acceptor.voterSet() != null
                && (p.base() < generation()
                        || p.base() == generation()
                                && p.epoch() > 0
                                && p.epoch() < acceptor.voterSet().epoch());
        if (older || p.base() != generation() || !acceptor.canWrite() || !elects(name)) {
            if (older) {
                post.send(p.from(), new ConsensusMessage.VoterSetUpdate(acceptor.voterSet()));
            }
            return;
        }
        final boolean same = kept != null && kept.base == p.base();
        if (same && p.proposalNumber().compareTo(kept.promised) < 0) {
            reply(p, false);
            return;
        }
        // What is still here must be read before the resignation changes how it is told.
        final SurvivingState left = own.get();
        kept = new Kept(
                p.base(), p.proposalNumber(), same ? kept.accepted : ProposalNumber.NONE, same ? kept.founding : null);
        acceptor.resign(p.base());
        final Kept now = kept;
        acceptor.putLocalRecord(FORM, MessageCodec.encodeRecord(now), ok -> {
            if (ok) {
                post.send(
                        p.from(),
                        new MembershipMessage.GenerationPromise(
                                p.base(),
                                p.proposalNumber(),
                                name,
                                address,
                                acceptor.diskId(),
                                true,
                                now.promised,
                                now.accepted,
                                now.founding,
                                left));
            }
        });
    }

    private void reply(final MembershipMessage.GenerationPrepare p, final boolean yes) {
        post.send(
                p.from(),
                new MembershipMessage.GenerationPromise(
                        p.base(),
                        p.proposalNumber(),
                        name,
                        address,
                        acceptor.diskId(),
                        yes,
                        kept.promised,
                        kept.accepted,
                        null,
                        null));
    }

    private void promise(final MembershipMessage.GenerationPromise p) {
        if (phase != Phase.PREPARE
                || p.base() != base
                || !p.proposalNumber().equals(proposalNumber)
                || !elects(p.name())) {
            return;
        }
        if (p.yes()) {
            promises.put(p.name(), p);
        } else {
            count = Math.max(count, p.promised().count());
        }
    }

    private void accept(final MembershipMessage.GenerationAccept a) {
        if (a.base() != generation() || !acceptor.canWrite() || !elects(name)) {
            return;
        }
        if (kept != null && kept.base == a.base() && a.proposalNumber().compareTo(kept.promised) < 0) {
            post.send(
                    a.from(),
                    new MembershipMessage.GenerationAccepted(a.base(), a.proposalNumber(), name, false, kept.promised));
            return;
        }
        kept = new Kept(a.base(), a.proposalNumber(), a.proposalNumber(), a.founding());
        acceptor.resign(a.base());
        acceptor.putLocalRecord(FORM, MessageCodec.encodeRecord(kept), ok -> {
            if (ok) {
                post.send(
                        a.from(),
                        new MembershipMessage.GenerationAccepted(
                                a.base(), a.proposalNumber(), name, true, a.proposalNumber()));
            }
        });
    }

    private void accepted(final MembershipMessage.GenerationAccepted a) {
        if (phase != Phase.ACCEPT
                || a.base() != base
                || !a.proposalNumber().equals(proposalNumber)
                || !elects(a.name())) {
            return;
        }
        if (!a.yes()) {
            count = Math.max(count, a.promised().count());
            return;
        }
        accepted.add(a.name());
        if (accepted.size() >= majority()) {
            final InitialState founding = proposed;
            change(Phase.IDLE, "founded");
            for (final Voter voter : founding.table().voters()) {
                if (!voter.name().equals(name)) {
                    post.send(voter.address(), new MembershipMessage.GenerationStarted(founding));
                }
            }
            found(founding);
        }
    }

    private void found(final InitialState founding) {
        if (acceptor.voterSet() != null && founding.table().generation() == generation()) {
            acceptor.startGenerationLate(founding.table(), founding.entries());
            founded = founding;
            return;
        }
        if (!founding.table().newerThan(acceptor.voterSet())) {
            return;
        }
        founded = founding;
        final Voter voter = founding.table().voter(name);
        if (voter == null || !voter.diskId().equals(acceptor.diskId())) {
            adopt(founding.table());
            return;
        }
        LOG.atInfo().log(
                "event=founded node=%s generation=%s registers=%s",
                name, founding.table().generation(), founding.entries().size());
        acceptor.startGeneration(founding.table(), founding.entries());
        proposer.updateVoterSet(founding.table());
        wantedSinceMs = -1;
        roundsWaited = 0;
        change(Phase.IDLE, "founded");
    }

    /** Asks for one change of the table, once a majority is there to agree. One seat is changed by each epoch. */
    private void changeVoters(final Map<String, MembershipMessage.VoterStatus> fresh) {
        final VoterSet table = acceptor.voterSet();
        if (table == null || changing || !acceptor.canWrite() || !majorityVotes(table, fresh)) {
            return;
        }
        switch (acceptor.state()) {
            case RESIGNED -> startOverIfStuck();
            case BLANK -> join(table, fresh);
            case VOTING -> {
                unseatedSinceMs = -1;
                if (moved(table)) {
                    propose(table.withReplacedDisk(voter()));
                } else {
                    membership.thinned(table, fresh).ifPresent(this::propose);
                }
            }
            default -> {
                if (moved(table)) {
                    propose(table.withReplacedDisk(voter()));
                }
            }
        }
    }

    private Voter voter() {
        return new Voter(name, address, acceptor.diskId());
    }

    /** Whether a majority of the seats vote, this core's own not among them unless it votes. */
    private boolean majorityVotes(final VoterSet table, final Map<String, MembershipMessage.VoterStatus> fresh) {
        int voting = 0;
        for (final MembershipMessage.VoterStatus s : fresh.values()) {
            voting += s.voting() && table.voter(s.name()) != null ? 1 : 0;
        }
        if (voting >= table.majority()) {
            return true;
        }
        stuckSinceMs = -1;
        return false;
    }

    /** The other generation's proposal number that this core resigned for came to nothing: it begins as a blank one. */
    private void startOverIfStuck() {
        stuckSinceMs = stuckSinceMs < 0 ? clock.nowMs() : stuckSinceMs;
        if (clock.nowMs() - stuckSinceMs > 4 * timing.roundMs()) {
            kept = null;
            acceptor.resetIdentity(freshId.get());
            acceptor.putLocalRecord(FORM, null, ok -> {});
        }
    }

    /** This core's disk has its seat under another address. */
    private boolean moved(final VoterSet table) {
        final Voter voter = table.voter(name);
        return voter != null
                && voter.diskId().equals(acceptor.diskId())
                && !voter.address().equals(address);
    }

    /** A core without a seat of its own asks for one. A disk that has voted and lost its seat meanwhile gets a fresh
     * identity first. */
    private void join(final VoterSet table, final Map<String, MembershipMessage.VoterStatus> fresh) {
        if (acceptor.mayHaveVoted()) {
            acceptor.resetIdentity(freshId.get());
            return;
        }
        unseatedSinceMs = unseatedSinceMs < 0 ? clock.nowMs() : unseatedSinceMs;
        final boolean waited = clock.nowMs() - unseatedSinceMs > 2 * timing.silentMs();
        membership.joined(table, voter(), fresh, waited).ifPresent(this::propose);
    }

    private void propose(final VoterSet next) {
        changing = true;
        final byte[] mine = MessageCodec.encodeRecord(next);
        proposer.propose(
                VoterSet.key(next.generation(), next.epoch()),
                timing.roundMs() * 2,
                now -> now == null ? new RegisterEdit.Set(mine) : RegisterEdit.LEAVE,
                this::changed);
    }

    private void changed(final ProposalOutcome outcome) {
        changing = false;
        if (outcome instanceof ProposalOutcome.Committed done && done.value() != null) {
            final VoterSet table = MessageCodec.decodeRecord(done.value(), VoterSet.class);
            adopt(table);
            for (final String other : others.get()) {
                post.send(other, new ConsensusMessage.VoterSetUpdate(table));
            }
        }
    }
}
