package spokestall.node;

import java.util.List;
import spokestall.api.CallRegistry;
import spokestall.audit.Auditor;
import spokestall.configuration.ConfigurationFormat;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.ConfigurationValidator;
import spokestall.configuration.NativeConfigurationFormat;
import spokestall.configuration.change.ChangeCoordinator;
import spokestall.configuration.feed.FeedClient;
import spokestall.configuration.feed.FeedReplica;
import spokestall.configuration.feed.FeedServer;
import spokestall.consensus.Proposer;
import spokestall.consensus.VoterSet;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.message.Message;
import spokestall.settings.Settings;

/**
 * Creates the components of one node and wires them together. Holds no state of its own.
 *
 * <p>The order of construction is part of the contract: components draw from the node's random source when they are
 * created, and a simulation must be repeatable. A component that needs one created after it receives a function that it
 * calls later.
 */
final class NodeComponents {
    /** Receives the events that the components report to their node. */
    interface Listener {
        /** Handles a message that this node sent to its own address. */
        void onMessage(Message message);

        /** Called each time a newer configuration takes effect on this node. */
        void onConfigurationApplied();
    }

    final NodeContext context;
    final CallRegistry calls = new CallRegistry();
    final ConfigurationStore configurationStore;
    final PartialView view;
    final PeerDirectory peerDirectory;
    final DiscoveryComponent discovery;
    final HandoffComponent handoff;
    final Proposer proposer;
    final FeedServer feedServer;
    final MembershipComponent membership;
    final FeedClient feedClient;
    final KnownEdges knownEdges;
    final ChangeCoordinator changeCoordinator;
    /** Null on an edge. */
    final CoreStorage storage;
    /** Null on an edge. */
    final UsageComponent usage;
    /** Null on an edge. */
    final AuditComponent audit;
    /** Null on a core that serves no clients. */
    final ProxyComponent proxy;

    private final NodeEnvironment environment;
    private final Listener listener;

    /**
     * Creates all components; a core loads the state on its disk.
     *
     * @param foreignFormat the configuration format, or null for spokestall's own
     */
    NodeComponents(
            final Settings settings,
            final boolean core,
            final NodeEnvironment environment,
            final ConfigurationFormat foreignFormat,
            final Listener listener) {
        this.environment = environment;
        this.listener = listener;
        final ConfigurationFormat format = foreignFormat == null ? nativeFormat(settings) : foreignFormat;
        this.context = new NodeContext(settings, core, environment, listener::onMessage);
        this.configurationStore = new ConfigurationStore(CoreStorage.VERSIONS_KEPT, format);
        this.view = partialView();
        this.peerDirectory = new PeerDirectory(context, view, this::voterSet, this::edgesReported);
        this.discovery = new DiscoveryComponent(context);
        this.handoff = new HandoffComponent(context, this::voterSet, this::sinceLastResponseMs);
        this.proposer = proposer();
        this.storage = core ? coreStorage() : null;
        this.feedServer = feedServer();
        this.usage = core ? usageComponent() : null;
        this.membership = membershipComponent();
        this.feedClient = feedClient();
        this.knownEdges = new KnownEdges(context, view, feedClient, feedServer, this::ready);
        this.proxy = context.servesClients ? proxyComponent() : null;
        this.changeCoordinator = changeCoordinator(format);
        this.audit = core ? auditComponent() : null;
        if (core) {
            openCore();
        }
        registerCalls();
    }

    private List<NodeInfo> edgesReported() {
        return feedClient == null
                ? List.of()
                : feedClient.edgesReportedWithin(context.settings().peerTimeoutMillis());
    }

    private ConfigurationFormat nativeFormat(final Settings settings) {
        return new NativeConfigurationFormat(new ConfigurationValidator(
                calls.schema().at("/$defs/policy"),
                settings.regions(),
                settings.zones().keySet()));
    }

    private PartialView partialView() {
        return new PartialView(
                context.self(),
                context.settings().seeds(),
                context.messageSender,
                context.clock,
                context.fleetClock,
                context.random,
                context.timings().partialView());
    }

    private Proposer proposer() {
        return new Proposer(
                context.proposerId(),
                context.address,
                context.messageSender,
                context.clock,
                context.random,
                context.timings().proposer(),
                handoff::onMissedChange);
    }

    private CoreStorage coreStorage() {
        return new CoreStorage(context, environment.segments(), configurationStore, this::voterSet, this::mayVote);
    }

    private UsageComponent usageComponent() {
        return new UsageComponent(
                context, peerDirectory, storage.acceptor, proposer, environment.platform(), feedServer::incarnationOf);
    }

    private MembershipComponent membershipComponent() {
        return new MembershipComponent(
                context,
                peerDirectory,
                proposer,
                configurationStore,
                storage,
                new ToleratedVoterLoss(context.settings(), view),
                usage == null ? () -> 0 : usage::highestFencingToken);
    }

    private FeedServer feedServer() {
        return new FeedServer(
                context.name,
                new FeedServer.Sources(
                        configurationStore,
                        discovery.endpointRegistry,
                        view,
                        storage == null ? null : storage.acceptor,
                        discovery::isListCurrent),
                context.messageSender,
                context.clock,
                context.fleetClock,
                new FeedServerOptions(context));
    }

    private FeedClient feedClient() {
        final FeedBinding binding = new FeedBinding(this, listener);
        return new FeedClient(
                binding,
                new FeedReplica(configurationStore, discovery.endpointRegistry, proposer),
                context.messageSender,
                context.clock,
                context.timings().feedClient(),
                binding);
    }

    private ProxyComponent proxyComponent() {
        return new ProxyComponent(
                context,
                peerDirectory,
                new ProxyComponent.Sources(
                        view.self(),
                        configurationStore,
                        discovery.endpointRegistry,
                        feedClient,
                        proposer,
                        handoff.responseCache,
                        environment.upstreams()));
    }

    private ChangeCoordinator changeCoordinator(final ConfigurationFormat format) {
        return new ChangeCoordinator(
                new ChangeHost(context, feedServer),
                new ChangeCoordinator.Replication(configurationStore, proposer, feedClient),
                format,
                context.clock,
                new ChangeCoordinator.Limits(
                        context.timings().changeMs(), context.timings().configurationMaxBytes()));
    }

    private AuditComponent auditComponent() {
        final Auditor auditor = new Auditor(environment.audit(), configurationStore, context.fleetClock::nowMs);
        return new AuditComponent(context, auditor, proposer, usage.leaseManager);
    }

    private void openCore() {
        storage.open();
        membership.open();
        discovery.open(peerDirectory, storage.acceptor, environment.discovery());
        usage.open();
        storage.acceptor.addListener((key, register) -> {
            usage.onRegisterStored(key, register);
            audit.onRegisterStored(key, register);
        });
    }

    private void registerCalls() {
        final ConfigurationCalls configurationCalls = new ConfigurationCalls(context, changeCoordinator, feedClient);
        final RecordCalls recordCalls = new RecordCalls(context, proposer, environment.audit());
        new DirectoryCall(context, configurationStore, feedClient, proposer, changeCoordinator, knownEdges)
                .register(calls);
        new StatusCalls(
                        context,
                        new StatusCalls.Sources(
                                view,
                                peerDirectory,
                                configurationStore,
                                feedClient,
                                proposer,
                                discovery.endpointRegistry),
                        context.core
                                ? new CoreStatus(context, storage, usage, handoff, feedServer)
                                : new EdgeStatus(proxy.admissionController))
                .register(calls);
        configurationCalls.registerReads(calls);
        recordCalls.registerUsage(calls);
        if (context.core) {
            configurationCalls.registerWrites(calls);
            recordCalls.registerAudit(calls);
        }
    }

    /** Creates the dispatcher that passes messages from other nodes to these components. */
    MessageDispatcher dispatcher() {
        return new MessageDispatcher(
                new MessageDispatcher.Components(view, membership, feedClient, discovery, handoff),
                context.core ? new MessageDispatcher.CoreComponents(storage, feedServer, usage) : null,
                proxy);
    }

    /** Returns the voters in force, or null while this node knows none. */
    VoterSet voterSet() {
        return proposer.voterSet();
    }

    /** Returns whether this node serves clients now. */
    boolean ready() {
        return proxy != null && !view.self().leaving() && feedClient.isFresh() && context.fleetClock.settled();
    }

    /**
     * Returns whether a core's acceptor may vote: the fleet clock has settled, and other voters have ruled out that the
     * disk was restored to an older state.
     */
    private boolean mayVote() {
        return context.fleetClock.settled() && membership.isDiskVerified();
    }

    private long sinceLastResponseMs(final String core) {
        return feedClient.sinceResponseMs(core);
    }

    /** Returns the number of client requests in flight on this node. */
    int openRequests() {
        return proxy == null ? 0 : proxy.openRequests();
    }
}
