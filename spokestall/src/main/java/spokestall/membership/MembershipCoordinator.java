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
 * disks are lost that no majority with state can be. A core that takes part in a new generation's ballot has resigned
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
        /** Example: {@code merger.merge(base, remains, seats)} */
        InitialState merge(long base, List<SurvivingState> remains, List<Voter> seats);
    }

    /** Spans and sizes, from the settings; cores is 0 if nobody said how many. A settled core says its standing each
     * sayMs, always with its table if others read the older form only. A seat unheard for silentMs may be given to a core
     * that joins, one unheard for goneMs given up. */
    public record Pace(
            int cores,
            long freshMs,
            long settleMs,
            long waitAllMs,
            long roundMs,
            long sayMs,
            boolean alwaysTable,
            long silentMs,
            long goneMs) {}

    /** What an acceptor keeps on disk about a new generation's ballot. */
    record Kept(long base, ProposalNumber promised, ProposalNumber accepted, InitialState founding) {}

    /** What a core said last, and how far its disk was written at the most. */
    private record Heard(MembershipMessage.Standing standing, long heardMs, long written) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    public static final String FORM = "~form";
    /** So many rounds a founding waits for a core that is heard and has state but does not promise. */
    private static final int ROUNDS_WAITED = 4;

    private final String name;
    private final String address;
    private final String by;
    private final Acceptor voter;
    private final Proposer proposer;
    private final MessageSender post;
    private final Clock clock;
    private final Pace pace;
    private final Merger merger;
    private final Supplier<SurvivingState> own;
    private final Supplier<List<String>> others;
    private final Supplier<List<String>> cores;
    private final BootstrapProposer founder;
    private final Supplier<String> freshId;
    private final BooleanSupplier ready;
    private final ReconfigurationPlanner membership;
    private final PeerLiveness silence;
    private final Map<String, Heard> heard = new TreeMap<>();
    private final Map<String, SurvivingState> remains = new TreeMap<>();
    private final Map<String, MembershipMessage.FormPromise> promises = new TreeMap<>();
    private final Set<String> accepted = new HashSet<>();
    /** Rounds of a founding that this core began and that came to nothing. */
    private int roundsWaited;

    private Kept kept;
    private Phase phase = Phase.IDLE;
    private ProposalNumber ballot = ProposalNumber.NONE;
    private long base;
    private long phaseMs;
    private long count;
    private long wantedSinceMs = -1;
    private long stuckSinceMs = -1;
    private boolean changing;
    private long unseatedSinceMs = -1;
    private InitialState proposed;
    private InitialState founded;
    private MembershipMessage.Standing said;
    private long saidMs = Long.MIN_VALUE / 2;
    private long changedMs;

    /** {@code others} are all other nodes known, {@code cores} the cores among them; {@code founder} is null on a core
     * that may not found the first generation by the seeds; {@code mostLost} tells how many of some seats the largest loss
     * that must be borne can take. Example: see {@code Node}, which joins it to the voter, the proposer and the view. */
    public MembershipCoordinator(
            final String name,
            final String address,
            final String by,
            final Acceptor voter,
            final Proposer proposer,
            final MessageSender post,
            final Clock clock,
            final Pace pace,
            final Merger merger,
            final Supplier<SurvivingState> own,
            final Supplier<List<String>> others,
            final Supplier<List<String>> cores,
            final BootstrapProposer founder,
            final Supplier<String> freshId,
            final BooleanSupplier ready,
            final ToIntFunction<List<Voter>> mostLost) {
        this.name = name;
        this.address = address;
        this.by = by;
        this.voter = voter;
        this.proposer = proposer;
        this.post = post;
        this.clock = clock;
        this.pace = pace;
        this.merger = merger;
        this.own = own;
        this.others = others;
        this.cores = cores;
        this.founder = founder;
        this.freshId = freshId;
        this.ready = ready;
        this.membership = new ReconfigurationPlanner(name, mostLost);
        this.silence = new PeerLiveness(pace.sayMs());
        final byte[] had = voter.own(FORM);
        kept = had == null ? null : MessageCodec.record(had, Kept.class);
        if (kept != null && kept.base == generation()) {
            voter.resign(kept.base);
        }
    }

    private long generation() {
        return voter.voters() == null ? 0 : voter.voters().generation();
    }

    /** What this core says of itself. Example: {@code post.send(peer, formation.standing());} */
    public MembershipMessage.Standing standing() {
        return new MembershipMessage.Standing(
                name,
                address,
                voter.diskId(),
                voter.voters(),
                voter.hasState(),
                voter.state() == Acceptor.State.VOTING,
                voter.canWrite(),
                0,
                0,
                founder != null && voter.voters() == null,
                voter.catchesUp(),
                unheard(pace.silentMs()),
                unheard(pace.goneMs()),
                0,
                0,
                0);
    }

    private long unheard(final long boundMs) {
        final VoterSet table = voter.voters();
        return table == null ? 0 : silence.silentSeats(table, name, boundMs, clock.nowMs());
    }

    private void say(final String to, final MembershipMessage.Standing what) {
        MembershipMessage.Standing with = what.written(voter.written(), 0, 0);
        for (final Heard h : heard.values()) {
            if (h.standing.address().equals(to)) {
                with = what.written(voter.written(), Fingerprints.of(h.standing.diskId()), h.written);
            }
        }
        post.send(to, with);
    }

    /** Whether so many others have spoken in this life that one of any majority has: had this disk been written further
     * than it is, one of them would have said so before the first vote. */
    public boolean checked() {
        final VoterSet table = voter.voters();
        if (table == null) {
            return false;
        }
        int told = 0;
        for (final Voter seat : table.seats()) {
            told += !seat.name().equals(name) && heard.containsKey(seat.name()) ? 1 : 0;
        }
        return told >= table.majority() - 1;
    }

    /** What this core once promised may not be on a disk that was put back to an older state: it starts over. */
    private void older(final MembershipMessage.Standing s) {
        LOG.atSevere().log(
                "event=disk_older node=%s written=%s heard=%s from=%s",
                name, voter.written(), s.yourWritten(), s.name());
        kept = null;
        voter.restart(freshId.get());
        voter.keepOwn(FORM, null, ok -> {});
    }

    /** The cores heard of late, by name, with what they said. Example: {@code formation.fresh().size()} */
    public Map<String, MembershipMessage.Standing> fresh() {
        final Map<String, MembershipMessage.Standing> fresh = new TreeMap<>();
        heard.forEach((peer, h) -> {
            if (clock.nowMs() - h.heardMs <= pace.freshMs()) {
                fresh.put(peer, h.standing);
            }
        });
        fresh.put(name, standing());
        return fresh;
    }

    /** Takes a newer table from anywhere. Example: {@code formation.adopt(table);} */
    public void adopt(final VoterSet table) {
        final boolean newer = table.newerThan(voter.voters());
        voter.adopt(table);
        proposer.adopt(table);
        if (newer) {
            for (final String key :
                    List.copyOf(voter.registers().tailMap(VoterSet.KEYS).keySet())) {
                if (key.startsWith(VoterSet.KEYS)) {
                    voter.drop(key);
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
        final MembershipMessage.Standing mine = standing();
        if (!mine.equals(said)) {
            said = mine;
            changedMs = nowMs;
        }
        final boolean settled = phase == Phase.IDLE
                && nowMs - changedMs > 3 * pace.sayMs()
                && (voter.state() == Acceptor.State.VOTING || voter.state() == Acceptor.State.STOPPED);
        if (settled && nowMs - saidMs < pace.sayMs()) {
            return;
        }
        final boolean edgesToo = mine.table() == null && nowMs / pace.sayMs() != saidMs / pace.sayMs();
        saidMs = nowMs;
        final Set<String> have = new HashSet<>();
        heard.values().forEach(h -> {
            if (!h.standing.lacks(mine.table())) {
                have.add(h.standing.address());
            }
        });
        final MembershipMessage.Standing lean = pace.alwaysTable()
                ? mine
                : new MembershipMessage.Standing(
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
                        mine.silentSeats(),
                        mine.goneSeats(),
                        0,
                        0,
                        0);
        for (final String other : edgesToo ? others.get() : cores.get()) {
            say(other, have.contains(other) ? lean : mine);
        }
    }

    /** One beat: says its standing, joins, or starts a new generation. Example: {@code formation.tick();} */
    public void tick() {
        if (voter.voters() != null) {
            silence.beat(voter.voters(), clock.nowMs());
        }
        say();
        voter.tick(address);
        final Map<String, MembershipMessage.Standing> fresh = fresh();
        if (founded != null
                && founded.table().seats().stream()
                        .allMatch(seat -> fresh.containsKey(seat.name())
                                && fresh.get(seat.name()).hasState())) {
            founded = null;
        }
        if (voter.voters() == null && pace.cores() == 0) {
            if (founder != null && voter.canWrite() && ready.getAsBoolean()) {
                founder.tick(blanks(fresh));
            }
        } else if (phase != Phase.IDLE) {
            advance(fresh);
        } else if (wanted(fresh)) {
            consider(fresh);
        } else {
            wantedSinceMs = -1;
            changeSeats(fresh);
        }
    }

    private static Map<String, Voter> blanks(final Map<String, MembershipMessage.Standing> fresh) {
        final Map<String, Voter> blanks = new TreeMap<>();
        fresh.forEach((peer, s) -> {
            if (s.founding() && s.canWrite()) {
                blanks.put(peer, new Voter(peer, s.address(), s.diskId()));
            }
        });
        return blanks;
    }

    /** How many take part in a new generation's ballot: the seats of the table that it ends. */
    private int size() {
        return voter.voters() == null ? pace.cores() : voter.voters().seats().size();
    }

    private int majority() {
        return size() / 2 + 1;
    }

    private boolean elects(final String core) {
        return voter.voters() == null ? pace.cores() != 0 : voter.voters().seat(core) != null;
    }

    /** True when no majority with state can be put together from the cores there are. */
    private boolean wanted(final Map<String, MembershipMessage.Standing> fresh) {
        if (!voter.canWrite() || !ready.getAsBoolean() || !elects(name)) {
            return false;
        }
        int canWrite = 0;
        int withState = 0;
        int catchingUp = 0;
        for (final MembershipMessage.Standing s : fresh.values()) {
            if (s.newerThan(voter.voters())) {
                return false;
            }
            if (elects(s.name())) {
                final boolean same = s.generation() > 0 && s.generation() == generation();
                canWrite += s.canWrite() ? 1 : 0;
                withState += s.hasState() && same ? 1 : 0;
                catchingUp += s.catchingUp() && !s.hasState() && same ? 1 : 0;
            }
        }
        if (voter.voters() == null) {
            return canWrite == pace.cores();
        }
        // Whoever has a seat and still catches up will have its state, as long as enough are there to read from.
        final int soon = withState >= voter.voters().meeting() ? withState + catchingUp : withState;
        return canWrite >= majority() && canWrite - soon > size() - majority();
    }

    private void consider(final Map<String, MembershipMessage.Standing> fresh) {
        final long nowMs = clock.nowMs();
        if (wantedSinceMs < 0) {
            wantedSinceMs = nowMs;
        }
        final int rank = new ArrayList<>(fresh.keySet()).indexOf(name);
        final long waitMs = (fresh.size() >= size() ? pace.settleMs() : pace.waitAllMs()) + rank * pace.roundMs();
        if (nowMs - wantedSinceMs >= waitMs) {
            base = generation();
            remains.clear();
            for (final String other : others.get()) {
                post.send(other, new MembershipMessage.RemainsAsk(address));
            }
            change(Phase.GATHER, "no-majority-with-state");
        }
    }

    private void advance(final Map<String, MembershipMessage.Standing> fresh) {
        final long spentMs = clock.nowMs() - phaseMs;
        if (phase == Phase.GATHER && spentMs >= pace.settleMs()) {
            prepare(fresh);
        } else if (phase == Phase.PREPARE
                && promises.size() >= majority()
                && !awaitsState(fresh)
                && (promises.size() >= fresh.size() || spentMs >= pace.settleMs())) {
            propose();
        } else if (phase != Phase.GATHER && spentMs >= 2 * pace.roundMs()) {
            wantedSinceMs = -1;
            roundsWaited++;
            change(Phase.IDLE, "round-over");
        }
    }

    /** Whether a core that told of its state and is still heard has not promised yet: it is slow, and until it has promised
     * it may confirm what no other has. */
    private boolean awaitsState(final Map<String, MembershipMessage.Standing> fresh) {
        return roundsWaited < ROUNDS_WAITED
                && remains.values().stream()
                        .anyMatch(r -> r.hasState()
                                && r.generation() == base
                                && elects(r.name())
                                && fresh.containsKey(r.name())
                                && !promises.containsKey(r.name()));
    }

    private void prepare(final Map<String, MembershipMessage.Standing> fresh) {
        count = Math.max(count, kept == null ? 0 : kept.promised.count()) + 1;
        ballot = new ProposalNumber(count, by);
        promises.clear();
        accepted.clear();
        change(Phase.PREPARE, "gathered");
        final long epoch = voter.voters() == null ? 0 : voter.voters().epoch();
        for (final MembershipMessage.Standing s : fresh.values()) {
            if (elects(s.name())) {
                post.send(s.address(), new MembershipMessage.FormPrepare(address, base, ballot, epoch));
            }
        }
    }

    private void propose() {
        MembershipMessage.FormPromise highest = null;
        final List<Voter> seats = new ArrayList<>();
        final List<SurvivingState> left = new ArrayList<>(remains.values());
        for (final MembershipMessage.FormPromise p : promises.values()) {
            if (p.founding() != null && (highest == null || p.accepted().compareTo(highest.accepted()) > 0)) {
                highest = p;
            }
            seats.add(new Voter(p.name(), p.address(), p.diskId()));
            left.add(p.remains());
        }
        if (voter.voters() != null) {
            for (final Voter old : voter.voters().seats()) {
                if (!promises.containsKey(old.name())) {
                    seats.add(new Voter(old.name(), old.address(), ""));
                }
            }
        }
        proposed = highest != null ? highest.founding() : merger.merge(base, left, seats);
        change(Phase.ACCEPT, "promised-by-" + promises.size());
        for (final Voter seat : seats) {
            post.send(seat.address(), new MembershipMessage.FormAccept(address, base, ballot, proposed));
        }
    }

    /** Hears the other cores. Example: {@code formation.hear(note);} */
    public void hear(final MembershipMessage note) {
        if (note instanceof MembershipMessage.Standing s) {
            standing(s);
        } else if (note instanceof MembershipMessage.FormPrepare p) {
            prepare(p);
        } else if (note instanceof MembershipMessage.FormPromise p) {
            promise(p);
        } else if (note instanceof MembershipMessage.FormAccept a) {
            accept(a);
        } else if (note instanceof MembershipMessage.FormAccepted a) {
            accepted(a);
        } else if (note instanceof MembershipMessage.Founded f) {
            found(f.founding());
        } else if (note instanceof MembershipMessage.RemainsBack back && phase == Phase.GATHER) {
            remains.put(back.remains().name(), back.remains());
        }
    }

    private void standing(final MembershipMessage.Standing s) {
        if (heard.size() >= 4 * VoterSet.SEATS_MAX && !heard.containsKey(s.name())) {
            return;
        }
        silence.heard(s.name(), clock.nowMs());
        if (s.heardFurther(voter.diskId(), voter.written()) && voter.canWrite()) {
            older(s);
        }
        final Heard had = heard.get(s.name());
        final boolean sameDisk = had != null && had.standing.diskId().equals(s.diskId());
        heard.put(s.name(), new Heard(s, clock.nowMs(), sameDisk ? Math.max(had.written, s.written()) : s.written()));
        if (s.newerThan(voter.voters())) {
            if (s.table() != null) {
                adopt(s.table());
            } else {
                say(s.address(), standing());
            }
        } else if (s.lacks(voter.voters())) {
            post.send(
                    s.address(),
                    missedFounding(s)
                            ? new MembershipMessage.Founded(founded)
                            : new ConsensusMessage.Table(voter.voters()));
        } else if (missedFounding(s)) {
            post.send(s.address(), new MembershipMessage.Founded(founded));
        }
        if (had == null || clock.nowMs() - had.heardMs > pace.freshMs()) {
            // Whoever has just come should not have to wait for the next beat.
            say(s.address(), standing());
        }
    }

    /** A seat of the first table that has not voted yet must have missed what it starts from. */
    private boolean missedFounding(final MembershipMessage.Standing s) {
        final Voter seat = founded == null || founded.table().generation() != generation()
                ? null
                : founded.table().seat(s.name());
        return seat != null
                && seat.diskId().equals(s.diskId())
                && !s.hasState()
                && (s.generation() == 0 || s.generation() <= generation());
    }

    private void prepare(final MembershipMessage.FormPrepare p) {
        // A ballot by an older table would have other voters: none is given once a newer one is known.
        final boolean older = voter.voters() != null
                && (p.base() < generation()
                        || p.base() == generation()
                                && p.epoch() > 0
                                && p.epoch() < voter.voters().epoch());
        if (older || p.base() != generation() || !voter.canWrite() || !elects(name)) {
            if (older) {
                post.send(p.from(), new ConsensusMessage.Table(voter.voters()));
            }
            return;
        }
        final boolean same = kept != null && kept.base == p.base();
        if (same && p.ballot().compareTo(kept.promised) < 0) {
            reply(p, false);
            return;
        }
        // What is still here must be read before the resignation changes how it is told.
        final SurvivingState left = own.get();
        kept = new Kept(p.base(), p.ballot(), same ? kept.accepted : ProposalNumber.NONE, same ? kept.founding : null);
        voter.resign(p.base());
        final Kept now = kept;
        voter.keepOwn(FORM, MessageCodec.bytes(now), ok -> {
            if (ok) {
                post.send(
                        p.from(),
                        new MembershipMessage.FormPromise(
                                p.base(),
                                p.ballot(),
                                name,
                                address,
                                voter.diskId(),
                                true,
                                now.promised,
                                now.accepted,
                                now.founding,
                                left));
            }
        });
    }

    private void reply(final MembershipMessage.FormPrepare p, final boolean yes) {
        post.send(
                p.from(),
                new MembershipMessage.FormPromise(
                        p.base(),
                        p.ballot(),
                        name,
                        address,
                        voter.diskId(),
                        yes,
                        kept.promised,
                        kept.accepted,
                        null,
                        null));
    }

    private void promise(final MembershipMessage.FormPromise p) {
        if (phase != Phase.PREPARE || p.base() != base || !p.ballot().equals(ballot) || !elects(p.name())) {
            return;
        }
        if (p.yes()) {
            promises.put(p.name(), p);
        } else {
            count = Math.max(count, p.promised().count());
        }
    }

    private void accept(final MembershipMessage.FormAccept a) {
        if (a.base() != generation() || !voter.canWrite() || !elects(name)) {
            return;
        }
        if (kept != null && kept.base == a.base() && a.ballot().compareTo(kept.promised) < 0) {
            post.send(a.from(), new MembershipMessage.FormAccepted(a.base(), a.ballot(), name, false, kept.promised));
            return;
        }
        kept = new Kept(a.base(), a.ballot(), a.ballot(), a.founding());
        voter.resign(a.base());
        voter.keepOwn(FORM, MessageCodec.bytes(kept), ok -> {
            if (ok) {
                post.send(a.from(), new MembershipMessage.FormAccepted(a.base(), a.ballot(), name, true, a.ballot()));
            }
        });
    }

    private void accepted(final MembershipMessage.FormAccepted a) {
        if (phase != Phase.ACCEPT || a.base() != base || !a.ballot().equals(ballot) || !elects(a.name())) {
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
            for (final Voter seat : founding.table().seats()) {
                if (!seat.name().equals(name)) {
                    post.send(seat.address(), new MembershipMessage.Founded(founding));
                }
            }
            found(founding);
        }
    }

    private void found(final InitialState founding) {
        if (voter.voters() != null && founding.table().generation() == generation()) {
            voter.foundLate(founding.table(), founding.entries());
            founded = founding;
            return;
        }
        if (!founding.table().newerThan(voter.voters())) {
            return;
        }
        founded = founding;
        final Voter seat = founding.table().seat(name);
        if (seat == null || !seat.diskId().equals(voter.diskId())) {
            adopt(founding.table());
            return;
        }
        LOG.atInfo().log(
                "event=founded node=%s generation=%s registers=%s",
                name, founding.table().generation(), founding.entries().size());
        voter.found(founding.table(), founding.entries());
        proposer.adopt(founding.table());
        wantedSinceMs = -1;
        roundsWaited = 0;
        change(Phase.IDLE, "founded");
    }

    /** Asks for one change of the table, once a majority is there to agree. One seat is changed by each epoch. */
    private void changeSeats(final Map<String, MembershipMessage.Standing> fresh) {
        final VoterSet table = voter.voters();
        if (table == null || changing || !voter.canWrite() || !majorityVotes(table, fresh)) {
            return;
        }
        switch (voter.state()) {
            case RESIGNED -> startOverIfStuck();
            case BLANK -> join(table, fresh);
            case VOTING -> {
                unseatedSinceMs = -1;
                if (moved(table)) {
                    propose(table.swap(seat()));
                } else {
                    membership.thinned(table, fresh).ifPresent(this::propose);
                }
            }
            default -> {
                if (moved(table)) {
                    propose(table.swap(seat()));
                }
            }
        }
    }

    private Voter seat() {
        return new Voter(name, address, voter.diskId());
    }

    /** Whether a majority of the seats vote, this core's own not among them unless it votes. */
    private boolean majorityVotes(final VoterSet table, final Map<String, MembershipMessage.Standing> fresh) {
        int voting = 0;
        for (final MembershipMessage.Standing s : fresh.values()) {
            voting += s.voting() && table.seat(s.name()) != null ? 1 : 0;
        }
        if (voting >= table.majority()) {
            return true;
        }
        stuckSinceMs = -1;
        return false;
    }

    /** The other generation's ballot that this core resigned for came to nothing: it begins as a blank one. */
    private void startOverIfStuck() {
        stuckSinceMs = stuckSinceMs < 0 ? clock.nowMs() : stuckSinceMs;
        if (clock.nowMs() - stuckSinceMs > 4 * pace.roundMs()) {
            kept = null;
            voter.restart(freshId.get());
            voter.keepOwn(FORM, null, ok -> {});
        }
    }

    /** This core's disk has its seat under another address. */
    private boolean moved(final VoterSet table) {
        final Voter seat = table.seat(name);
        return seat != null
                && seat.diskId().equals(voter.diskId())
                && !seat.address().equals(address);
    }

    /** A core without a seat of its own asks for one. A disk that has voted and lost its seat meanwhile gets a fresh
     * identity first. */
    private void join(final VoterSet table, final Map<String, MembershipMessage.Standing> fresh) {
        if (voter.hasVoted()) {
            voter.restart(freshId.get());
            return;
        }
        unseatedSinceMs = unseatedSinceMs < 0 ? clock.nowMs() : unseatedSinceMs;
        final boolean waited = clock.nowMs() - unseatedSinceMs > 2 * pace.silentMs();
        membership.joined(table, seat(), fresh, waited).ifPresent(this::propose);
    }

    private void propose(final VoterSet next) {
        changing = true;
        final byte[] mine = MessageCodec.bytes(next);
        proposer.change(
                VoterSet.key(next.generation(), next.epoch()),
                pace.roundMs() * 2,
                now -> now == null ? new RegisterEdit.Set(mine) : RegisterEdit.LEAVE,
                this::changed);
    }

    private void changed(final ProposalOutcome outcome) {
        changing = false;
        if (outcome instanceof ProposalOutcome.Done done && done.value() != null) {
            final VoterSet table = MessageCodec.record(done.value(), VoterSet.class);
            adopt(table);
            for (final String other : others.get()) {
                post.send(other, new ConsensusMessage.Table(table));
            }
        }
    }
}
