package spokestall;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import spokestall.audit.Audit;
import spokestall.audit.Auditor;
import spokestall.ballot.Ballot;
import spokestall.ballot.BallotNote;
import spokestall.ballot.Council;
import spokestall.ballot.CouncilNote;
import spokestall.ballot.FormNote;
import spokestall.ballot.Formation;
import spokestall.ballot.Founder;
import spokestall.ballot.Proposer;
import spokestall.ballot.Register;
import spokestall.ballot.Remains;
import spokestall.ballot.Seat;
import spokestall.ballot.Voter;
import spokestall.ballot.Voters;
import spokestall.duty.LeaseKeeper;
import spokestall.duty.Reporter;
import spokestall.duty.Sealed;
import spokestall.duty.UsageBook;
import spokestall.duty.UsageCounter;
import spokestall.duty.UsageNote;
import spokestall.edge.Directory;
import spokestall.edge.Edge;
import spokestall.edge.Elector;
import spokestall.edge.Habits;
import spokestall.edge.Parts;
import spokestall.edge.Upstreams;
import spokestall.feed.FeedNote;
import spokestall.feed.Follower;
import spokestall.feed.Versions;
import spokestall.hand.HandNote;
import spokestall.hand.Hints;
import spokestall.hand.Shelf;
import spokestall.listing.Listed;
import spokestall.listing.Listing;
import spokestall.listing.ListingNote;
import spokestall.listing.Prober;
import spokestall.policy.Acceptance;
import spokestall.policy.Book;
import spokestall.policy.OwnForm;
import spokestall.policy.Policy;
import spokestall.policy.PolicyForm;
import spokestall.policy.Rules;
import spokestall.policy.Snapshot;
import spokestall.ring.Ring;
import spokestall.ring.Segments;
import spokestall.rpc.Calls;
import spokestall.rpc.Reply;
import spokestall.settings.Renewal;
import spokestall.settings.Settings;
import spokestall.time.Clock;
import spokestall.time.FleetClock;
import spokestall.view.Member;
import spokestall.view.View;
import spokestall.view.ViewNote;
import spokestall.wire.Codec;
import spokestall.wire.Note;
import spokestall.wire.Post;

/**
 * One node, whole: its state machines joined to each other and to the rim. Everything here runs on one stage; time,
 * randomness, the network and the disk come from outside, so that a process and the simulator run the same node.
 */
public final class Node {
    /** What a node reaches the world by. */
    public record Rim(
            Clock clock,
            Random random,
            Post post,
            Segments segments,
            Prober.Reach reach,
            Upstreams upstreams,
            Reporter.Platform platform,
            Audit audit) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String POLICY = "~policy";
    private static final String LEASE = "duty/usage_report";
    private static final Register NO_LEASE = new Register(Ballot.NONE, Ballot.NONE, null);
    private static final int POLICY_KEPT = 1024;
    /** The share of the ring that registers of versions that are in the snapshot may take. */
    private static final double POLICY_KEPT_SHARE = 0.1;

    private static final int HURRIED = 4;
    private static final int WINDOWS_KEPT = 16;
    private static final int HINTS_KEPT = 16_384;
    private static final int HANDED_AT_ONCE = 512;
    /** What a count that was not told is taken for where a table needs a bound. */
    private static final int UNTOLD = Voters.SEATS_MAX;

    static {
        Notes.number();
    }

    Settings settings;
    final String name;
    private final String address;
    final boolean core;
    final boolean serves;
    private final long life;
    final Clock clock;
    private final Random random;
    final FleetClock fleet;
    final Post post;
    final View view;
    final Book book;
    private final PolicyForm form;
    final Listing listing;
    final Proposer proposer;
    final Follower follower;
    final Ring ring;
    final Voter voter;
    private final Keeping keeping;
    private final Council council;
    private final Founder founder;
    private final Formation formation;
    private final Prober prober;
    private final UsageBook usage;
    final LeaseKeeper keeper;
    final Reporter reporter;
    private final UsageCounter counter;
    private final Elector elector;
    final Edge edge;
    private final Shelf shelf;
    final Hints hints = new Hints(HINTS_KEPT);
    final Acceptance acceptance;
    private final Auditor auditor;
    final Audit audit;
    final Calls calls = new Calls();
    final Feeds feeds = new Feeds(this);
    private final Directory directory = new Directory();
    private final long startedMs;
    private final long windowMs;
    private int sharersMost = 1;
    private long sharersSeen = -1;
    private Set<String> heldBefore = Set.of();
    private Kept keptList;
    private Kept keptUsage;
    private List<UsageNote.Count> countsBefore = List.of();
    private boolean policyDirty;
    private boolean keepingPolicy;
    private long snapshotDown;
    private long tokenSeen;
    private boolean stopped;
    private Consumer<Policy> watcher = policy -> {};

    /** Example: {@code new Node(settings, true, rim).start();} */
    public Node(final Settings settings, final boolean core, final Rim rim) {
        this(settings, core, rim, null);
    }

    /** With policies in another form than spokestall's own. Example: {@code new Node(settings, true, rim, form).start();} */
    public Node(final Settings settings, final boolean core, final Rim rim, final PolicyForm other) {
        this.form = other != null
                ? other
                : new OwnForm(new Rules(
                        calls.file().at("/$defs/policy"),
                        settings.regions(),
                        settings.districts().keySet()));
        this.book = new Book(POLICY_KEPT, form);
        this.settings = settings;
        this.core = core;
        this.name = settings.text("name");
        this.address = settings.text("address");
        this.clock = rim.clock();
        this.random = rim.random();
        this.startedMs = clock.nowMs();
        this.life = clock.wallMs() << 10 | random.nextInt(1 << 10);
        this.fleet = new FleetClock(clock, settings.part("farMs", 2));
        this.post = (to, note) -> {
            if (to.equals(address)) {
                clock.after(0, () -> hear(note));
            } else {
                rim.post().send(to, note);
            }
        };
        this.windowMs = settings.ms("reportWindowS") * 1000;
        this.usage = new UsageBook(() -> fleet.nowMs() / windowMs, WINDOWS_KEPT);
        this.serves = !core || settings.ms("alsoEdge") == 1;
        final Member self = new Member(
                name,
                address,
                settings.text("http"),
                core,
                settings.text("district"),
                settings.region(),
                life,
                0,
                false,
                (int) settings.ms("cores"),
                (int) settings.ms("edges"),
                core && serves);
        final long farMs = settings.ms("farMs");
        this.view = new View(
                self,
                settings.seeds(),
                post,
                clock,
                fleet,
                random,
                new View.Pace(
                        2 * (told("cores") + told("edges")),
                        6,
                        settings.part("leaveBoundMs", 4),
                        settings.part("leaveBoundMs", 1)));
        this.listing = new Listing(life, 8192, settings.ms("leaveBoundMs"), settings.ms("probes") == 1);
        this.proposer = new Proposer(
                name + "#" + Long.toHexString(life),
                address,
                post,
                clock,
                random,
                new Proposer.Pace(4 * farMs, Math.max(1, farMs / 2), 64),
                this::missed);
        this.follower = new Follower(
                view::self,
                book,
                listing,
                proposer,
                post,
                clock,
                followerPace(),
                this::coreAddresses,
                this::adopt,
                this::policyMoved,
                this::openAsks,
                this::distance);
        this.shelf = new Shelf(core ? 16 << 20 : 8 << 20);
        this.elector = !serves
                ? null
                : new Elector(
                        settings.region(),
                        settings.text("district"),
                        s -> listing.ready(s, fleet.nowMs()),
                        clock,
                        fleet,
                        random,
                        electorPace());
        this.counter = !serves
                ? null
                : new UsageCounter(
                        name,
                        address,
                        life,
                        new UsageCounter.Pace(
                                windowMs,
                                settings.part("reportDueMs", 0.1),
                                3,
                                settings.ms("uncountedMs"),
                                (int) settings.ms("cores"),
                                farMs / 2),
                        clock,
                        fleet,
                        post,
                        this::coreAddresses);
        this.edge = serves ? edge(rim) : null;
        this.ring = core ? new Ring(rim.segments()) : null;
        this.keeping = core
                ? new Keeping(
                        () -> fleet.settled() && checked(),
                        fleet,
                        settings.ms("claimKeepMs"),
                        settings.part("claimKeepMs", 0.2),
                        windowMs,
                        this::voters,
                        () -> voter().floor(),
                        () -> snapshotDown,
                        ring::fill)
                : null;
        this.voter = core ? new Voter(name, ring, post, keeping, freshId()) : null;
        final boolean first =
                settings.ms("cores") == 0 && settings.ms("bootstrap") == 1 && (!core || voter.openedBlank());
        this.council =
                new Council(address, settings.seeds(), first, post, this::voters, core ? this::marked : Runnable::run);
        this.founder = core && first
                ? new Founder(
                        name,
                        address,
                        name + "#" + Long.toHexString(life),
                        settings.seeds(),
                        post,
                        clock,
                        new Founder.Pace(
                                settings.part("leaveBoundMs", 0.5), settings.part("leaveBoundMs", 0.25), 8 * farMs),
                        seats -> new Merge(fleet).merge(0, List.of(remains()), seats))
                : null;
        this.formation = core
                ? new Formation(
                        name,
                        address,
                        name + "#" + Long.toHexString(life),
                        voter,
                        proposer,
                        post,
                        clock,
                        new Formation.Pace(
                                (int) settings.ms("cores"),
                                settings.part("leaveBoundMs", 0.6),
                                settings.part("leaveBoundMs", 0.15),
                                settings.part("leaveBoundMs", 0.75),
                                8 * farMs,
                                settings.part("leaveBoundMs", 0.25),
                                settings.ms("noteVersion") < 3,
                                settings.part("leaveBoundMs", 0.5),
                                settings.part("leaveBoundMs", 8)),
                        new Merge(fleet),
                        this::remains,
                        this::coreAndEdgeAddresses,
                        this::otherCoreAddresses,
                        founder,
                        this::freshId,
                        fleet::settled,
                        new Losses(settings, view))
                : null;
        this.prober = core
                ? new Prober(
                        self,
                        listing,
                        rim.reach(),
                        post,
                        fleet,
                        new Prober.Pace(
                                settings.part("leaveBoundMs", 0.25),
                                settings.part("leaveBoundMs", 0.5),
                                2,
                                2,
                                settings.ms("listMs"),
                                settings.part("leaveBoundMs", 0.25),
                                settings.ms("probes") == 1),
                        this::otherCores,
                        view::members)
                : null;
        this.reporter = core
                ? new Reporter(
                        name,
                        address,
                        usage,
                        proposer,
                        rim.platform(),
                        post,
                        clock,
                        fleet,
                        new Reporter.Pace(
                                windowMs,
                                settings.part("reportDueMs", 0.15),
                                settings.part("reportDueMs", 0.5),
                                settings.part("reportDueMs", 0.03),
                                settings.ms("reportDueMs"),
                                settings.part("leaseMs", 0.4),
                                settings.part("leaseMs", 0.4),
                                settings.number("dutiesPerS")),
                        this::coreAddresses,
                        this::floorMs,
                        this::presentLife)
                : null;
        this.keeper = core
                ? new LeaseKeeper(
                        "usage_report",
                        name,
                        proposer,
                        clock,
                        random,
                        new LeaseKeeper.Pace(
                                settings.ms("leaseMs"),
                                settings.part("leaseMs", 0.2),
                                settings.part("leaseMs", 0.4),
                                settings.part("leaseMs", 0.1),
                                2 * farMs,
                                settings.ms("maxRunMs"),
                                settings.ms("restMs")),
                        reporter,
                        this::leaseHere)
                : null;
        this.acceptance = new Acceptance(
                name,
                book,
                form,
                proposer,
                follower,
                clock,
                () -> fleet.settled() ? fleet.nowMs() : 0,
                settings.part("policyBoundMs", 0.8),
                policyBytesMost(),
                feeds::tell);
        this.audit = rim.audit();
        this.auditor = core ? new Auditor(audit, book, fleet::nowMs) : null;
        if (core) {
            openDisk();
        }
        new Desk(this).open();
    }

    private Edge edge(final Rim rim) {
        return new Edge(
                new Parts(
                        view.self(),
                        book,
                        follower,
                        proposer,
                        elector,
                        rim.upstreams(),
                        counter,
                        shelf,
                        post,
                        clock,
                        fleet,
                        random,
                        this::sharers,
                        this::homeCores),
                edgePace());
    }

    private Follower.Pace followerPace() {
        return new Follower.Pace(
                settings.ms("freshMs"), 32, 3 * settings.ms("proofMs"), core ? 8 : 64, settings.ms("noteVersion") < 3);
    }

    private Elector.Pace electorPace() {
        return new Elector.Pace(
                this::sharers,
                settings.number("warmRatio"),
                settings.number("warmSlack"),
                settings.part("leaveBoundMs", 0.25),
                settings.part("leaveBoundMs", 2),
                settings.number("districtCost"),
                settings.number("regionCost"));
    }

    private Edge.Pace edgePace() {
        return new Edge.Pace(
                (int) settings.ms("askOpenMax"),
                settings.ms("heldMaxBytes"),
                settings.ms("claimKeepMs"),
                20 * settings.ms("farMs"),
                4 * settings.ms("farMs"),
                settings.ms("retryAfterMs"),
                3,
                settings.number("retryShare") * 0.9,
                settings.number("retryAllowance"),
                settings.ms("askSpanMaxMs"),
                settings.part("claimKeepMs", 0.01),
                new Habits(
                        settings.ms("keyed") == 1,
                        settings.ms("claims") == 1,
                        settings.ms("homeEdges") == 1,
                        settings.ms("holdsEdges") == 1,
                        settings.ms("unsentFree") == 1,
                        settings.ms("any500") == 1));
    }

    /** Takes what a running node can change of newer settings, and tells which settings it goes on with. A founding
     * that is under way keeps the seeds it began with. Example: {@code front.renew(node.renew(newer));} */
    public Settings renew(final Settings newer) {
        final Renewal renewal = Renewal.of(settings, newer, core);
        settings = renewal.settings();
        view.seeds(settings.seeds());
        follower.pace(followerPace());
        if (serves) {
            elector.pace(electorPace());
            edge.pace(edgePace());
        }
        LOG.atInfo().log(
                "event=settings_renewed node=%s taken=%s waiting=%s", name, renewal.taken(), renewal.waiting());
        return settings;
    }

    private boolean checked() {
        return formation.checked();
    }

    /** A policy and the ids of its changes must fit into one record of the cores' rings, on an edge's word too. */
    private int policyBytesMost() {
        return (int) Math.min(settings.ms("policyMaxBytes"), settings.ms("ringSegmentBytes") * 3 / 8);
    }

    private int told(final String count) {
        return settings.ms(count) == 0 ? UNTOLD : (int) settings.ms(count);
    }

    private void marked(final Runnable then) {
        voter.keepOwn("~council", new byte[0], ok -> {
            if (ok) {
                then.run();
            }
        });
    }

    private String freshId() {
        return name + "/" + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    }

    private void openDisk() {
        final byte[] had = voter.own(POLICY);
        if (had != null) {
            final Snapshot snapshot = Codec.record(had, Snapshot.class);
            book.load(snapshot);
            snapshotDown = snapshot.version();
            raiseFloor();
        }
        if (voter.voters() != null) {
            proposer.adopt(voter.voters());
        }
        keptList = new Kept(
                voter, "~listed", listing::changes, () -> new ListingNote.Push(listing.listed(), List.of(), 0));
        final ListingNote.Push list = keptList.read(ListingNote.Push.class);
        if (list != null) {
            listing.merge(list.listed(), List.of());
        }
        keptUsage = new Kept(voter, "~usage", usage::changes, () -> new UsageNote.Counts(address, 0, usage.all()));
        final UsageNote.Counts counts = keptUsage.read(UsageNote.Counts.class);
        if (counts != null) {
            countsBefore = counts.counts();
        }
        voter.watch((key, register) -> {
            tokens(key, register);
            if (auditor != null && register.value() != null && Sealed.windowOf(key) >= 0) {
                auditor.window(Codec.record(register.value(), Sealed.class));
            }
        });
        voter.registers().forEach(this::tokens);
    }

    private void tokens(final String key, final Register register) {
        if (key.equals(LEASE) && register.value() != null) {
            tokenSeen = Math.max(
                    tokenSeen,
                    Codec.record(register.value(), spokestall.duty.Lease.class).token());
        }
    }

    /** What was decided since the last beat is written down. */
    private void decided() {
        if (fleet.settled()) {
            auditor.table(voters());
            auditor.policy();
            auditor.lease(keeper.seen());
        }
    }

    /** Begins all beats. Example: {@code node.start();} */
    public void start() {
        LOG.atInfo().log(
                "event=start node=%s role=%s address=%s district=%s region=%s life=%s",
                name, core ? "core" : "edge", address, settings.text("district"), settings.region(), life);
        hurry(clock.nowMs() + settings.part("leaveBoundMs", 1.5), 0);
        every(settings.part("leaveBoundMs", 0.125), () -> {
            view.tick();
            publishEdges();
        });
        every(settings.ms("proofMs"), () -> {
            follower.tick();
            publishEdges();
        });
        if (core) {
            every(settings.part("leaveBoundMs", 0.0625), formation::tick);
            every(settings.part("leaveBoundMs", 0.125), prober::tick);
            every(settings.part("leaseMs", 0.1), this::keepLease);
            every(settings.part("reportDueMs", 0.01), reporter::tick);
            every(settings.part("keyBoundMs", 0.2), this::tidy);
            every(settings.ms("countPushMs"), keptUsage::tick);
            every(settings.ms("listMs"), keptList::tick);
            every(settings.part("keyBoundMs", 0.02), this::recount);
            every(settings.part("keyBoundMs", 0.1), this::decided);
            every(settings.part("keyBoundMs", 0.02), this::learnFounded);
        }
        if (serves) {
            every(settings.ms("countPushMs"), counter::tick);
            every(
                    settings.part("leaveBoundMs", 1),
                    () -> elector.retain(Set.copyOf(
                            listing.listed().stream().map(Listed::instance).toList())));
        }
        every(settings.part("leaveBoundMs", 2), () -> {
            if (!differing().isEmpty()) {
                LOG.atWarning().log(
                        "event=counts_differ node=%s cores=%s edges=%s from=%s",
                        name, settings.ms("cores"), settings.ms("edges"), differing());
            }
        });
        every(settings.part("leaveBoundMs", 2), () -> listing.prune(fleet.nowMs() - settings.part("leaveBoundMs", 30)));
    }

    /** A node that has just started asks without waiting for its beats, until it has what it needs to serve. */
    private void hurry(final long untilMs, final int turn) {
        final boolean able = fleet.settled()
                && follower.fresh()
                && (!serves || !listing.listed().isEmpty());
        if (stopped || able || clock.nowMs() >= untilMs) {
            return;
        }
        view.greet(voters() == null ? List.of() : coreAddresses());
        publishEdges();
        if (voters() != null && !follower.fresh() || turn < HURRIED || turn % (2 * HURRIED) == 0) {
            // Before there are voters nothing can be proved; a founding takes seconds.
            follower.tick();
        }
        clock.after(settings.part("leaveBoundMs", 0.03), () -> hurry(untilMs, turn + 1));
    }

    private void every(final long spanMs, final Runnable beat) {
        clock.after(1 + random.nextInt((int) Math.max(1, spanMs)), new Runnable() {
            @Override
            public void run() {
                if (!stopped) {
                    clock.after(spanMs, this);
                    beat.run();
                }
            }
        });
    }

    /** The fleet's time here. Example: {@code node.fleetMs()} */
    public long fleetMs() {
        return fleet.nowMs();
    }

    /** The edge part, or null on a core. Example: {@code node.edge().open(head)} */
    public Edge edge() {
        return edge;
    }

    /** The voter part, or null on an edge. Example: {@code node.voter().state()} */
    public Voter voter() {
        return voter;
    }

    /** Whether this core's voter may give votes now. Example: {@code assertThat(node.votes()).isTrue();} */
    public boolean votes() {
        return voter.state() == Voter.State.VOTING && keeping.ready();
    }

    /** How full a core's ring is, 1 when nothing more fits. Example: {@code node.ringFill() < 0.7} */
    public double ringFill() {
        return ring.fill();
    }

    /** The duty's keeper, or null on an edge. Example: {@code node.keeper().execution()} */
    public LeaseKeeper keeper() {
        return keeper;
    }

    /** The policy in force here. Example: {@code node.book().policy().version()} */
    public Book book() {
        return book;
    }

    /** The follower of the feed. Example: {@code node.follower().fresh()} */
    public Follower follower() {
        return follower;
    }

    /** The upstreams known here. Example: {@code node.listing().listed()} */
    public Listing listing() {
        return listing;
    }

    /** Carries out a call. Example: {@code node.call("status", params, reply -> ...);} */
    public void call(final String method, final JsonNode params, final Consumer<Reply> done) {
        calls.run(method, params, done);
    }

    /** Leaves: where answers first, then what is in flight and the connections, then the duties; done is run when all
     * is given up. Example: {@code node.leave(front.connections(), () -> System.exit(0));} */
    public void leave(final Connections connections, final Runnable done) {
        LOG.atInfo().log("event=leaving node=%s", name);
        view.leave();
        follower.tick();
        publishEdges();
        final Departure.Pace departing = new Departure.Pace(
                settings.part("stopWaitMs", 0.2),
                settings.part("stopWaitMs", 0.75),
                settings.part("stopWaitMs", 0.9),
                settings.ms("stopWaitMs"),
                20,
                50);
        new Departure(connections, new Underway(), clock, departing, () -> {
                    if (serves) {
                        counter.stop();
                    }
                    giveUp(done);
                })
                .begin();
    }

    /** What is under way at this node's edge, if it has one. */
    private final class Underway implements Departure.Requests {
        @Override
        public void deny() {
            if (edge != null) {
                edge.leave();
            }
        }

        @Override
        public void giveUp() {
            if (edge != null) {
                edge.giveUp();
            }
        }

        @Override
        public boolean open() {
            return openAsks() > 0;
        }
    }

    /** The duty goes last: what edges count until their end is still told by whoever holds it. */
    private void giveUp(final Runnable done) {
        if (core) {
            keeper.stop(() -> stop(done));
        } else {
            stop(done);
        }
    }

    private void stop(final Runnable done) {
        stopped = true;
        LOG.atInfo().log("event=stop node=%s", name);
        done.run();
    }

    Voters voters() {
        return proposer.voters();
    }

    private void adopt(final Voters table) {
        if (core) {
            formation.adopt(table);
        } else {
            proposer.adopt(table);
        }
    }

    /**
     * A node that leaves acquires no lease; one that it holds it keeps until its last request is answered. Neither does one that
     * doesn't vote: without the registers it can't tell which windows it may report.
     */
    private void keepLease() {
        final boolean mayAcquire = voter.state() == Voter.State.VOTING && !leaving();
        if (fleet.settled() && (keeper.state() == LeaseKeeper.State.HOLDING || mayAcquire)) {
            keeper.tick();
        }
    }

    private Long presentLife(final String name) {
        final Feeds.Present p = feeds.edges().get(name);
        return p == null ? null : p.member().life();
    }

    /** This voter's copy of the lease, or null while it doesn't vote. */
    private Register leaseHere() {
        return voter.state() != Voter.State.VOTING ? null : voter.registers().getOrDefault(LEASE, NO_LEASE);
    }

    private String seatAddress(final String core) {
        final Seat seat = voters() == null ? null : voters().seat(core);
        return seat == null ? core : seat.address();
    }

    /** 0 is this node's district, 1 its region, 2 any other place. */
    private int distance(final String of) {
        for (final Member m : view.members()) {
            if (m.address().equals(of)) {
                return m.district().equals(settings.text("district"))
                        ? 0
                        : m.region().equals(settings.region()) ? 1 : 2;
            }
        }
        return 2;
    }

    private int openAsks() {
        return edge == null ? 0 : edge.open();
    }

    private List<Member> otherCores() {
        return view.members().stream().filter(Member::core).toList();
    }

    private List<String> coreAddresses() {
        if (voters() != null) {
            return voters().seats().stream().map(Seat::address).toList();
        }
        final List<String> found =
                new ArrayList<>(otherCores().stream().map(Member::address).toList());
        if (core) {
            found.add(address);
        }
        return found;
    }

    private List<String> coreAndEdgeAddresses() {
        final Set<String> found = new java.util.TreeSet<>(
                view.members().stream().map(Member::address).toList());
        if (voters() != null) {
            voters().seats().forEach(s -> found.add(s.address()));
        }
        found.remove(address);
        return List.copyOf(found);
    }

    private List<String> otherCoreAddresses() {
        final Set<String> found = new java.util.TreeSet<>(
                otherCores().stream().map(Member::address).toList());
        found.addAll(coreAddresses());
        found.remove(address);
        return List.copyOf(found);
    }

    private List<String> homeCores(final Set<String> regions) {
        return view.members().stream()
                .filter(m -> m.core() && regions.contains(m.region()))
                .map(Member::address)
                .toList();
    }

    private long floorMs() {
        final Register floor = voter.registers().get(Merge.FLOOR);
        return floor == null || floor.value() == null
                ? fleet.nowMs()
                : Long.parseLong(new String(floor.value(), StandardCharsets.UTF_8));
    }

    /** Counts of before the last loss count once the fleet's time is known, by which their windows are. */
    private void recount() {
        if (!countsBefore.isEmpty() && fleet.settled()) {
            countsBefore.forEach(usage::merge);
            countsBefore = List.of();
        }
    }

    /** A new generation's first version is chosen by being in the founding. */
    private void learnFounded() {
        final Voters table = voter.voters();
        if (table == null
                || voter.state() != Voter.State.VOTING
                || book.policy().version() >= table.firstNumber()) {
            return;
        }
        final Register first = voter.registers().get(Versions.key(table.firstNumber()));
        if (first != null && first.value() != null) {
            follower.learn(table.firstNumber(), first.value());
        }
    }

    /** Has someone told of the policy in force, now and each time it moves. Example: {@code node.watch(p -> ...);} */
    public void watch(final Consumer<Policy> newer) {
        watcher = newer;
        watcher.accept(book.policy());
    }

    private void policyMoved() {
        watcher.accept(book.policy());
        clock.after(0, acceptance::moved);
        if (serves) {
            givenBack();
        }
        if (!core) {
            return;
        }
        policyDirty = true;
        keepPolicy();
    }

    /** The policy goes to this core's own disk as often as the disk takes it: a core that starts must not read each version
     * since from the others first. */
    private void keepPolicy() {
        if (!policyDirty || keepingPolicy) {
            return;
        }
        policyDirty = false;
        keepingPolicy = true;
        final long version = book.policy().version();
        voter.keepOwn(POLICY, Codec.bytes(book.snapshot()), ok -> {
            keepingPolicy = false;
            if (ok) {
                snapshotDown = version;
                raiseFloor();
                keepPolicy();
            }
        });
    }

    private void raiseFloor() {
        final long bytesMost = (long) (ring.capacityBytes() * POLICY_KEPT_SHARE);
        voter.raiseFloor(Versions.floor(voter.registers(), snapshotDown, POLICY_KEPT, bytesMost), this::letVersionsGo);
    }

    /** Below the floor a register is not needed: what it decided is in the snapshot on this disk. */
    private void letVersionsGo() {
        Versions.upTo(voter.registers(), voter.floor()).forEach(voter::drop);
    }

    /** Upstreams of a district that is given back may have turned cold while nothing was sent there. */
    private void givenBack() {
        final Set<String> now = book.policy().holds();
        for (final String district : heldBefore) {
            if (!now.contains(district)) {
                for (final Listed l : listing.listed()) {
                    final spokestall.policy.ServiceRule rule = book.policy().service(l.service());
                    if (l.district().equals(district) && rule != null) {
                        elector.chill(List.of(l.instance()), rule.warmupMs() + settings.part("leaveBoundMs", 0.5));
                    }
                }
            }
        }
        heldBefore = Set.copyOf(now);
    }

    private void tidy() {
        feeds.tidy(settings.part("leaveBoundMs", 2));
        if (voter.state() != Voter.State.VOTING || !fleet.settled()) {
            return;
        }
        final List<String> over = new ArrayList<>();
        voter.registers().forEach((key, r) -> {
            if (keeping.over(key, r.value())) {
                over.add(key);
            }
        });
        over.forEach(voter::drop);
    }

    private Remains remains() {
        final List<BallotNote.Entry> registers = new ArrayList<>();
        final boolean hasState = core && voter.keepsState();
        if (hasState) {
            voter.registers().forEach((key, r) -> registers.add(new BallotNote.Entry(key, r)));
        }
        final long generation = voters() == null ? 0 : voters().generation();
        return new Remains(
                name,
                generation,
                book.policy().version(),
                book.policy().version() == 0 ? null : Codec.bytes(book.snapshot()),
                tokenSeen,
                hasState,
                registers);
    }

    /** Hears a note from another process. Example: {@code node.hear(Codec.note(frame));} */
    public void hear(final Note note) {
        if (stopped) {
            return;
        }
        if (note instanceof ViewNote v) {
            view.hear(v);
        } else if (note instanceof BallotNote b) {
            hear(b);
        } else if (note instanceof CouncilNote c) {
            council.hear(c);
            if (founder != null) {
                founder.hear(c);
            }
        } else if (note instanceof FormNote.RemainsAsk ask) {
            post.send(ask.from(), new FormNote.RemainsBack(remains()));
        } else if (note instanceof FormNote f) {
            if (core) {
                formation.hear(f);
                if (f instanceof FormNote.Standing s && s.voting()) {
                    hand(s);
                }
            } else if (f instanceof FormNote.Standing s) {
                standing(s);
            }
        } else if (note instanceof FeedNote.FeedAsk ask) {
            if (core) {
                feeds.answer(ask);
            }
        } else if (note instanceof FeedNote.ProofAsk ask) {
            if (core) {
                feeds.answer(ask);
            }
        } else if (note instanceof FeedNote f) {
            follower.hear(f);
        } else if (note instanceof ListingNote.Push push) {
            listing.merge(push.listed(), push.reports());
            listing.read(Math.min(push.readMs(), fleet.nowMs()));
        } else if (note instanceof UsageNote u) {
            hear(u);
        } else if (note instanceof HandNote h) {
            hear(h);
        }
    }

    private void standing(final FormNote.Standing s) {
        if (s.table() != null && s.table().newerThan(voters())) {
            proposer.adopt(s.table());
        } else if (s.lacks(voters())) {
            post.send(s.address(), new BallotNote.Table(voters()));
        }
    }

    private void hear(final BallotNote note) {
        if (note instanceof BallotNote.Table table) {
            adopt(table.voters());
        } else if (note instanceof BallotNote.Promise || note instanceof BallotNote.Accepted) {
            proposer.hear(note);
        } else if (core) {
            voter.hear(note, address);
        }
    }

    /** A voter missed a change: this core keeps the name for it, or an edge has two cores keep it. */
    private void missed(final String seat, final String key) {
        if (core) {
            hints.keep(seat, key);
            return;
        }
        int told = 0;
        for (final Seat other : voters().seats()) {
            if (told < 2 && !other.name().equals(seat) && follower.heardMs(other.name()) < settings.heardMs()) {
                post.send(other.address(), new HandNote.Hint(seat, key));
                told++;
            }
        }
    }

    /** Hands over what a voter that is back should have had. It takes it like any late word of a chosen value. */
    private void hand(final FormNote.Standing back) {
        if (voter.state() != Voter.State.VOTING || !voters().same(back.generation(), back.epoch())) {
            return;
        }
        for (final String key : hints.take(back.name(), HANDED_AT_ONCE)) {
            final Register r = voter.registers().get(key);
            if (r != null && r.value() != null) {
                post.send(
                        back.address(),
                        new BallotNote.Chosen(voters().generation(), voters().epoch(), key, r.accepted(), r.value()));
            }
        }
    }

    private void hear(final UsageNote note) {
        if (note instanceof UsageNote.CountsHad had && counter != null) {
            counter.hear(had, seatAddress(had.name()));
        }
        if (!core) {
            return;
        }
        if (note instanceof UsageNote.Counts counts) {
            counts.counts().forEach(usage::merge);
            post.send(counts.from(), new UsageNote.CountsHad(name, counts.stamp(), life));
        } else if (note instanceof UsageNote.CountAsk ask) {
            post.send(ask.from(), new UsageNote.CountBack(name, ask.window(), usage.counts(ask.window())));
        } else if (note instanceof UsageNote.CountBack back) {
            reporter.hear(back);
        }
    }

    private void hear(final HandNote note) {
        if (note instanceof HandNote.Hint hint) {
            hints.keep(hint.missing(), hint.key());
        } else if (note instanceof HandNote.Keep keep) {
            shelf.keep(keep);
        } else if (note instanceof HandNote.Ask ask) {
            final HandNote.Keep found = shelf.find(ask.key(), ask.digest());
            post.send(
                    ask.from(),
                    found == null
                            ? new HandNote.Back(ask.askId(), ask.key(), null)
                            : new HandNote.Back(ask.askId(), ask.key(), found.content()));
        } else if (note instanceof HandNote.Back back && edge != null) {
            edge.hear(back);
        }
    }

    /** The edges that shared bounds are divided among: as many as are configured, else as are known or ever were here. */
    int sharers() {
        if (settings.ms("edges") > 0) {
            return (int) settings.ms("edges");
        }
        if (view.changes() == sharersSeen) {
            return sharersMost;
        }
        sharersSeen = view.changes();
        int serving = serves ? 1 : 0;
        for (final Member m : view.members()) {
            serving += m.serves() ? 1 : 0;
        }
        sharersMost = Math.max(sharersMost, serving);
        return sharersMost;
    }

    /** The edges that callers are told of, for any thread. Example: {@code Where.near(node.directory().edges(), "r1", "d1")} */
    public Directory directory() {
        return directory;
    }

    /** Whether this node takes asks now. Example: {@code if (!node.ready()) answer(503);} */
    public boolean ready() {
        return serves && !view.self().leaving() && follower.fresh() && fleet.settled();
    }

    /** Whether this node is on its way out. Example: {@code if (node.leaving()) closeAfterAnswer();} */
    public boolean leaving() {
        return view.self().leaving();
    }

    /** Takes operators' orders. Example: {@code node.acceptance().agree("hold-1", draft, 2000, reply -> ...);} */
    public Acceptance acceptance() {
        return acceptance;
    }

    /**
     * The edges believed to serve: those whose own word is fresh. Where none is, as after a loss of power or while no core
     * answers, those last named, then those that are known at all: a caller that is told of none can only wait.
     */
    Collection<Member> edgesForClients() {
        final Map<String, Member> found = new TreeMap<>();
        heardEdges().forEach(e -> found.put(e.name(), e));
        if (ready()) {
            found.put(name, view.self());
        }
        if (found.isEmpty()) {
            follower.edges(settings.part("leaveBoundMs", 2)).forEach(e -> found.put(e.name(), e));
        }
        if (found.isEmpty()) {
            view.members().stream().filter(Member::serves).forEach(e -> found.put(e.name(), e));
        }
        if (leaving()) {
            found.remove(name);
        }
        return found.values();
    }

    /** A core that has just started, or that nobody asks since it has no seat, goes by the word of another core. */
    private Collection<Member> heardEdges() {
        final long spanMs = settings.heardMs();
        if (!core) {
            return follower.edges(spanMs);
        }
        final Collection<Member> asking = feeds.freshEdges();
        final boolean justStarted = clock.nowMs() - startedMs < spanMs;
        if (!asking.isEmpty() && !justStarted) {
            return asking;
        }
        final List<Member> both = new ArrayList<>(follower.edges(spanMs));
        both.addAll(asking);
        return both;
    }

    /** Callers are told of what was heard up to now. */
    private void publishEdges() {
        directory.publish(edgesForClients());
    }

    /** Nodes configured with other counts of nodes than this one: shared bounds are divided by them. */
    List<String> differing() {
        final Member self = view.self();
        return self.edges() == 0
                ? List.of()
                : view.members().stream()
                        .filter(m -> m.edges() != 0 && (m.edges() != self.edges() || m.cores() != self.cores()))
                        .map(Member::name)
                        .toList();
    }
}
