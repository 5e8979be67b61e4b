package spokestall.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import spokestall.api.CallRegistry;
import spokestall.api.Reply;
import spokestall.audit.AuditSink;
import spokestall.audit.Auditor;
import spokestall.configuration.Configuration;
import spokestall.configuration.ConfigurationFormat;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.ConfigurationValidator;
import spokestall.configuration.NativeConfigurationFormat;
import spokestall.configuration.change.ChangeCoordinator;
import spokestall.configuration.feed.FeedClient;
import spokestall.configuration.feed.FeedMessage;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.Proposer;
import spokestall.consensus.Register;
import spokestall.consensus.VoterSet;
import spokestall.discovery.DiscoveryMessage;
import spokestall.discovery.EndpointRegistry;
import spokestall.discovery.HealthChecker;
import spokestall.gossip.GossipMessage;
import spokestall.gossip.PartialView;
import spokestall.handoff.HandoffMessage;
import spokestall.lease.LeaseManager;
import spokestall.membership.BootstrapMessage;
import spokestall.membership.MembershipMessage;
import spokestall.message.Message;
import spokestall.message.MessageCodec;
import spokestall.message.MessageSender;
import spokestall.proxy.AdmissionController;
import spokestall.proxy.EdgeDirectory;
import spokestall.proxy.UpstreamClient;
import spokestall.settings.Settings;
import spokestall.settings.SettingsUpdate;
import spokestall.storage.SegmentStore;
import spokestall.time.Clock;
import spokestall.usage.SealedWindow;
import spokestall.usage.UsageCounter;
import spokestall.usage.UsageMessage;
import spokestall.usage.UsageReporter;

/**
 * One node, whole: its state machines joined to each other and to the rim. Everything here runs on one stage; time,
 * randomness, the network and the disk come from outside, so that a process and the simulator run the same node.
 */
public final class Node {
    /** What a node reaches the world by. */
    public record NodeEnvironment(
            Clock clock,
            Random random,
            MessageSender post,
            SegmentStore segments,
            HealthChecker.Reach reach,
            UpstreamClient upstreams,
            UsageReporter.Platform platform,
            AuditSink audit) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int HURRIED = 4;

    static {
        MessageNumbers.number();
    }

    final NodeContext context;
    final PartialView view;
    final ConfigurationStore configurationStore;
    final DiscoveryComponent discovery;
    final HandoffComponent handoff;
    final Proposer proposer;
    final FeedClient follower;
    final ChangeCoordinator acceptance;
    final AuditSink audit;
    final CallRegistry calls = new CallRegistry();
    final FeedServer feeds = new FeedServer(this);
    final PeerDirectory neighbours;
    private final MembershipComponent membership;
    final KnownEdges knownEdges;
    /** Null on a node without a disk. */
    final CoreStorage storage;
    /** Null on a node without a disk. */
    final UsageComponent duty;
    /** Null on a node without a disk. */
    private final Auditor auditor;
    /** Null on a node that answers no clients. */
    private final ProxyComponent serving;

    private boolean stopped;
    private Consumer<Configuration> watcher = configuration -> {};

    /** Example: {@code new Node(settings, true, environment).start();} */
    public Node(final Settings settings, final boolean core, final NodeEnvironment environment) {
        this(settings, core, environment, null);
    }

    /** With configurations in another form than spokestall's own. */
    public Node(
            final Settings settings,
            final boolean core,
            final NodeEnvironment environment,
            final ConfigurationFormat other) {
        final ConfigurationFormat form = other == null ? ownForm(settings) : other;
        this.context = new NodeContext(settings, core, environment, this::hear);
        this.configurationStore = new ConfigurationStore(CoreStorage.CONFIGURATION_KEPT, form);
        this.view = new PartialView(
                context.self(),
                settings.seeds(),
                context.post,
                context.clock,
                context.fleet,
                context.random,
                context.timings().view());
        this.neighbours = new PeerDirectory(context, view, this::voterSet);
        this.discovery = new DiscoveryComponent(context);
        this.handoff = new HandoffComponent(context, this::voterSet, this::heardMs);
        this.proposer = new Proposer(
                context.proposerId(),
                context.address,
                context.post,
                context.clock,
                context.random,
                context.timings().proposer(),
                handoff::missed);
        this.storage = core
                ? new CoreStorage(context, environment.segments(), configurationStore, this::voterSet, this::mayVote)
                : null;
        this.duty = core
                ? new UsageComponent(
                        context,
                        neighbours,
                        storage.acceptor,
                        proposer,
                        environment.platform(),
                        feeds::presentIncarnation)
                : null;
        this.membership = new MembershipComponent(
                context,
                neighbours,
                proposer,
                configurationStore,
                storage,
                new ToleratedSeatLoss(settings, view),
                core ? duty::tokenSeen : () -> 0);
        this.follower = new FeedClient(
                view::self,
                configurationStore,
                discovery.endpointRegistry,
                proposer,
                context.post,
                context.clock,
                context.timings().follower(),
                neighbours::coreAddresses,
                membership::adopt,
                this::configurationMoved,
                this::openRequests,
                neighbours::distance);
        this.knownEdges = new KnownEdges(context, view, follower, feeds, this::ready);
        this.serving = context.serves ? serving(environment) : null;
        this.acceptance = new ChangeCoordinator(
                context.name,
                configurationStore,
                form,
                proposer,
                follower,
                context.clock,
                () -> context.fleet.settled() ? context.fleet.nowMs() : 0,
                settings.fractionOf("policyBoundMs", 0.8),
                context.timings().configurationBytesMost(),
                feeds::tell);
        this.audit = environment.audit();
        this.auditor = core ? new Auditor(audit, configurationStore, context.fleet::nowMs) : null;
        if (core) {
            open(environment);
        }
        new OperatorCallHandler(this).open();
    }

    private ConfigurationFormat ownForm(final Settings settings) {
        return new NativeConfigurationFormat(new ConfigurationValidator(
                calls.file().at("/$defs/policy"),
                settings.regions(),
                settings.zones().keySet()));
    }

    private ProxyComponent serving(final NodeEnvironment environment) {
        return new ProxyComponent(
                context,
                neighbours,
                new ProxyComponent.Sources(
                        view.self(),
                        configurationStore,
                        discovery.endpointRegistry,
                        follower,
                        proposer,
                        handoff.responseCache,
                        environment.upstreams()));
    }

    /** A core goes on from what its disk has. */
    private void open(final NodeEnvironment environment) {
        storage.open();
        membership.open();
        discovery.open(neighbours, view, storage.acceptor, environment.reach());
        duty.open();
        storage.acceptor.watch(this::stored);
    }

    private void stored(final String key, final Register register) {
        duty.seen(key, register);
        if (register.value() != null && SealedWindow.windowOf(key) >= 0) {
            auditor.window(MessageCodec.decodeRecord(register.value(), SealedWindow.class));
        }
    }

    /** Takes what a running node can change of newer settings, and tells which settings it goes on with. A founding
     * that is under way keeps the seeds it began with. */
    public Settings renew(final Settings newer) {
        final SettingsUpdate renewal = SettingsUpdate.of(context.settings(), newer, context.core);
        context.renew(renewal.settings());
        view.seeds(renewal.settings().seeds());
        follower.timing(context.timings().follower());
        if (serving != null) {
            serving.renew();
        }
        LOG.atInfo().log(
                "event=settings_renewed node=%s taken=%s waiting=%s",
                context.name, renewal.applied(), renewal.pending());
        return renewal.settings();
    }

    /** What was decided since the last beat is written down. */
    private void decided() {
        if (context.fleet.settled()) {
            auditor.table(voterSet());
            auditor.configuration();
            auditor.lease(duty.leaseManager.seen());
        }
    }

    /** Begins all beats. */
    public void start() {
        final Settings settings = context.settings();
        LOG.atInfo().log(
                "event=start node=%s role=%s address=%s district=%s region=%s life=%s",
                context.name,
                context.core ? "core" : "edge",
                context.address,
                settings.text("district"),
                settings.region(),
                context.incarnation);
        hurry(context.clock.nowMs() + settings.fractionOf("leaveBoundMs", 1.5), 0);
        every(settings.fractionOf("leaveBoundMs", 0.125), () -> {
            view.tick();
            knownEdges.publish();
        });
        every(settings.integer("proofMs"), () -> {
            follower.tick();
            knownEdges.publish();
        });
        if (context.core) {
            startCore(settings);
        }
        if (serving != null) {
            every(settings.integer("countPushMs"), serving::tickCounts);
            every(settings.fractionOf("leaveBoundMs", 1), serving::retain);
        }
        every(settings.fractionOf("leaveBoundMs", 2), this::warnOfDiffering);
        every(settings.fractionOf("leaveBoundMs", 2), discovery::prune);
    }

    private void startCore(final Settings settings) {
        every(settings.fractionOf("leaveBoundMs", 0.0625), membership::tick);
        every(settings.fractionOf("leaveBoundMs", 0.125), discovery::tick);
        every(settings.fractionOf("leaseMs", 0.1), () -> duty.tickLease(leaving()));
        every(settings.fractionOf("reportDueMs", 0.01), duty.reporter::tick);
        every(settings.fractionOf("keyBoundMs", 0.2), this::tidy);
        every(settings.integer("countPushMs"), duty::tickKept);
        every(settings.integer("listMs"), discovery::tickKept);
        every(settings.fractionOf("keyBoundMs", 0.02), duty::recount);
        every(settings.fractionOf("keyBoundMs", 0.1), this::decided);
        every(settings.fractionOf("keyBoundMs", 0.02), () -> storage.learnFounded(follower));
    }

    private void tidy() {
        feeds.tidy(context.settings().fractionOf("leaveBoundMs", 2));
        storage.tidy();
    }

    private void warnOfDiffering() {
        final List<String> differing = neighbours.differing();
        if (!differing.isEmpty()) {
            LOG.atWarning().log(
                    "event=counts_differ node=%s cores=%s edges=%s from=%s",
                    context.name,
                    context.settings().integer("cores"),
                    context.settings().integer("edges"),
                    differing);
        }
    }

    /** A node that has just started asks without waiting for its beats, until it has what it needs to serve. */
    private void hurry(final long untilMs, final int turn) {
        final boolean able = context.fleet.settled()
                && follower.fresh()
                && (serving == null || !discovery.endpointRegistry.listed().isEmpty());
        if (stopped || able || context.clock.nowMs() >= untilMs) {
            return;
        }
        view.greet(voterSet() == null ? List.of() : neighbours.coreAddresses());
        knownEdges.publish();
        if (voterSet() != null && !follower.fresh() || turn < HURRIED || turn % (2 * HURRIED) == 0) {
            // Before there are voters nothing can be proved; a founding takes seconds.
            follower.tick();
        }
        context.clock.after(context.settings().fractionOf("leaveBoundMs", 0.03), () -> hurry(untilMs, turn + 1));
    }

    private void every(final long spanMs, final Runnable tick) {
        context.clock.after(1 + context.random.nextInt((int) Math.max(1, spanMs)), new Runnable() {
            @Override
            public void run() {
                if (!stopped) {
                    context.clock.after(spanMs, this);
                    tick.run();
                }
            }
        });
    }

    /** The fleet's time here. */
    public long fleetMs() {
        return context.fleet.nowMs();
    }

    /** The edge part, or null on a core. */
    public AdmissionController edge() {
        return serving == null ? null : serving.edge;
    }

    /** What counts the asks that upstreams began, or null on a core. */
    public UsageCounter counter() {
        return serving == null ? null : serving.counter;
    }

    /** The voter part, or null on an edge. */
    public Acceptor acceptor() {
        return storage == null ? null : storage.acceptor;
    }

    /** Whether this core's voter may give votes now. */
    public boolean votes() {
        return storage.votes();
    }

    /** How full a core's ring is, 1 when nothing more fits. */
    public double logFill() {
        return storage.segmentedLog.fill();
    }

    /** The duty's keeper, or null on an edge. */
    public LeaseManager leaseManager() {
        return duty == null ? null : duty.leaseManager;
    }

    /** The configuration in force here. */
    public ConfigurationStore configurationStore() {
        return configurationStore;
    }

    /** The follower of the feed. */
    public FeedClient follower() {
        return follower;
    }

    /** The upstreams known here. */
    public EndpointRegistry endpointRegistry() {
        return discovery.endpointRegistry;
    }

    /** Carries out a call. */
    public void call(final String method, final JsonNode params, final Consumer<Reply> done) {
        calls.run(method, params, done);
    }

    /** Leaves: where answers first, then what is in flight and the connections, then the duties; done is run when all
     * is given up. */
    public void leave(final ClientConnections connections, final Runnable done) {
        LOG.atInfo().log("event=leaving node=%s", context.name);
        view.leave();
        follower.tick();
        knownEdges.publish();
        final GracefulShutdown.Requests requests = serving == null ? new GracefulShutdown.Idle() : serving;
        new GracefulShutdown(
                        connections, requests, context.clock, context.timings().departure(), () -> giveUp(done))
                .begin();
    }

    /** The duty goes last: what edges count until their end is still told by whoever holds it. */
    private void giveUp(final Runnable done) {
        if (serving != null) {
            serving.stop();
        }
        if (context.core) {
            duty.stop(() -> membership.handOver(() -> stop(done)));
        } else {
            stop(done);
        }
    }

    private void stop(final Runnable done) {
        stopped = true;
        LOG.atInfo().log("event=stop node=%s", context.name);
        done.run();
    }

    VoterSet voterSet() {
        return proposer.voterSet();
    }

    private boolean mayVote() {
        return context.fleet.settled() && membership.checked();
    }

    private long heardMs(final String core) {
        return follower.heardMs(core);
    }

    private int openRequests() {
        return serving == null ? 0 : serving.openRequests();
    }

    /** Has someone told of the configuration in force, now and each time it moves. */
    public void watch(final Consumer<Configuration> newer) {
        watcher = newer;
        watcher.accept(configurationStore.configuration());
    }

    private void configurationMoved() {
        watcher.accept(configurationStore.configuration());
        context.clock.after(0, acceptance::moved);
        if (serving != null) {
            serving.configurationMoved();
        }
        if (storage != null) {
            storage.configurationMoved();
        }
    }

    /** Hears a note from another process. */
    public void hear(final Message received) {
        if (stopped) {
            return;
        }
        if (received instanceof GossipMessage message) {
            view.hear(message);
        } else if (received instanceof ConsensusMessage message) {
            membership.hear(message);
        } else if (received instanceof BootstrapMessage message) {
            membership.hear(message);
        } else if (received instanceof MembershipMessage message) {
            hear(message);
        } else if (received instanceof FeedMessage message) {
            hear(message);
        } else if (received instanceof DiscoveryMessage.Push message) {
            discovery.hear(message);
        } else if (received instanceof UsageMessage message) {
            hear(message);
        } else if (received instanceof HandoffMessage message) {
            handoff.hear(message, edge());
        }
    }

    private void hear(final MembershipMessage message) {
        membership.hear(message);
        if (context.core && message instanceof MembershipMessage.VoterStatus voterStatus && voterStatus.voting()) {
            handoff.handOver(voterStatus, storage.acceptor);
        }
    }

    /** Questions are for cores, answers for all. */
    private void hear(final FeedMessage message) {
        if (message instanceof FeedMessage.FeedRequest ask) {
            if (context.core) {
                feeds.answer(ask);
            }
        } else if (message instanceof FeedMessage.FreshnessRequest ask) {
            if (context.core) {
                feeds.answer(ask);
            }
        } else {
            follower.hear(message);
        }
    }

    private void hear(final UsageMessage message) {
        if (message instanceof UsageMessage.CountsAcknowledged had && serving != null) {
            serving.hear(had);
        }
        if (duty != null) {
            duty.hear(message);
        }
    }

    /** The edges that clients are told of, for any thread. */
    public EdgeDirectory directory() {
        return knownEdges.directory;
    }

    /** Whether this node takes asks now. */
    public boolean ready() {
        return serving != null && !view.self().leaving() && follower.fresh() && context.fleet.settled();
    }

    /** Whether this node is on its way out. */
    public boolean leaving() {
        return view.self().leaving();
    }

    /** Takes operators' orders. */
    public ChangeCoordinator acceptance() {
        return acceptance;
    }
}
