package spokestall.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.function.Consumer;
import spokestall.api.Reply;
import spokestall.configuration.Configuration;
import spokestall.configuration.ConfigurationFormat;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.change.ChangeCoordinator;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.Acceptor;
import spokestall.discovery.EndpointRegistry;
import spokestall.lease.LeaseManager;
import spokestall.message.Message;
import spokestall.proxy.AdmissionController;
import spokestall.proxy.EdgeDirectory;
import spokestall.settings.Settings;
import spokestall.settings.SettingsUpdate;
import spokestall.usage.UsageCounter;

/**
 * One node of the fleet, a core or an edge: its lifecycle, and access to its components.
 *
 * <p>Not thread-safe; all calls on the node's event loop, but for {@link #directory}. Time, randomness, network and disk are
 * passed in as a {@link NodeEnvironment}, so that a process and the simulator run the same node.
 */
public final class Node {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    static {
        MessageNumbers.register();
    }

    private final NodeComponents components;
    private final NodeContext context;
    private final MessageDispatcher dispatcher;
    private final Ticker ticker;
    private Consumer<Configuration> configurationListener = configuration -> {};

    /** Creates a node with configurations in spokestall's own format; a core reads back what its disk has. */
    public Node(final Settings settings, final boolean core, final NodeEnvironment environment) {
        this(settings, core, environment, null);
    }

    /** Creates a node with configurations in another format than spokestall's own. */
    public Node(
            final Settings settings,
            final boolean core,
            final NodeEnvironment environment,
            final ConfigurationFormat foreignFormat) {
        this.components = new NodeComponents(settings, core, environment, foreignFormat, new ComponentListener());
        this.context = components.context;
        this.dispatcher = components.dispatcher();
        this.ticker = new Ticker(context.clock, context.random);
    }

    private final class ComponentListener implements NodeComponents.Listener {
        @Override
        public void onMessage(final Message message) {
            Node.this.onMessage(message);
        }

        @Override
        public void onConfigurationApplied() {
            configurationListener.accept(components.configurationStore.configuration());
            // The coordinator may propose anew, which must not happen inside the feed client's own step.
            context.clock.after(0, components.changeCoordinator::onConfigurationApplied);
            if (components.proxy != null) {
                components.proxy.onConfigurationApplied();
            }
            if (components.storage != null) {
                components.storage.onConfigurationApplied();
            }
        }
    }

    /** Begins the node's periodic work. Called once. */
    public void start() {
        LOG.atInfo().log(
                "event=start node=%s role=%s address=%s zone=%s region=%s incarnation=%s",
                context.name,
                context.core ? "core" : "edge",
                context.address,
                context.settings().text("district"),
                context.settings().region(),
                context.incarnation);
        new NodeSchedule(components, ticker).start();
    }

    /** Handles a message from another node, or from this one; ignored once the node has stopped. */
    public void onMessage(final Message message) {
        if (!ticker.stopped()) {
            dispatcher.onMessage(message);
        }
    }

    /**
     * Applies those of the newer settings that a running node can change, and returns the settings now in force. A bootstrap
     * in progress keeps the seeds that it began with.
     */
    public Settings applySettings(final Settings newer) {
        final SettingsUpdate update = SettingsUpdate.of(context.settings(), newer, context.core);
        context.applySettings(update.settings());
        components.view.updateSeeds(update.settings().seeds());
        components.feedClient.updateTimings(context.timings().feedClient());
        if (components.proxy != null) {
            components.proxy.applySettings();
        }
        LOG.atInfo().log(
                "event=settings_renewed node=%s taken=%s waiting=%s", context.name, update.applied(), update.pending());
        return update.settings();
    }

    /** Calls the listener with the configuration in force, now and each time a newer one is applied. Replaces a former listener. */
    public void listenToConfiguration(final Consumer<Configuration> listener) {
        configurationListener = listener;
        configurationListener.accept(components.configurationStore.configuration());
    }

    /** Runs a call of the schema file; {@code done} receives the reply, perhaps before this method returns. */
    public void call(final String method, final JsonNode params, final Consumer<Reply> done) {
        components.calls.call(method, params, done);
    }

    /**
     * Leaves the fleet in order: the directory names this node no more, then requests end, then, while the last responses are
     * written, a core releases the lease and sees a majority without itself hold what it accepted. {@code done} runs at the end
     * of all that.
     */
    public void shutDown(final ClientConnections connections, final Runnable done) {
        LOG.atInfo().log("event=shutdown_started node=%s", context.name);
        components.view.markLeaving();
        components.feedClient.onTick();
        components.knownEdges.publish();
        final GracefulShutdown.Requests requests =
                components.proxy == null ? GracefulShutdown.NO_REQUESTS : components.proxy;
        new GracefulShutdown(
                        connections,
                        requests,
                        context.clock,
                        context.timings().gracefulShutdown(),
                        new ShutdownListener(done))
                .begin();
    }

    /** Stops the node once its connections have ended and its roles are released. */
    private final class ShutdownListener implements GracefulShutdown.Listener {
        private final Runnable done;
        private boolean connectionsEnded;
        private boolean rolesReleased;

        ShutdownListener(final Runnable done) {
            this.done = done;
        }

        @Override
        public void onRequestsEnded() {
            releaseRoles(() -> {
                rolesReleased = true;
                stopIfComplete();
            });
        }

        @Override
        public void onEnded() {
            connectionsEnded = true;
            stopIfComplete();
        }

        private void stopIfComplete() {
            if (connectionsEnded && rolesReleased) {
                stop(done);
            }
        }
    }

    /** The lease is released last: what edges count until their end must still be reported by whoever holds it. */
    private void releaseRoles(final Runnable released) {
        if (components.proxy != null) {
            components.proxy.stop();
        }
        if (context.core) {
            components.usage.stop(() -> components.membership.handOver(released));
        } else {
            released.run();
        }
    }

    private void stop(final Runnable done) {
        ticker.stop();
        LOG.atInfo().log("event=stopped node=%s", context.name);
        done.run();
    }

    /** Returns whether this node serves clients now. */
    public boolean ready() {
        return components.ready();
    }

    /** Returns whether this node is shutting down. */
    public boolean leaving() {
        return components.view.self().leaving();
    }

    /** Returns the fleet's time as this node knows it, in milliseconds since the epoch. */
    public long fleetMs() {
        return context.fleetClock.nowMs();
    }

    /** Returns the edges that clients are directed to. Thread-safe. */
    public EdgeDirectory directory() {
        return components.knownEdges.directory;
    }

    /** Returns the configuration in force here. */
    public ConfigurationStore configurationStore() {
        return components.configurationStore;
    }

    /** Returns the client of the configuration feed. */
    public FeedClient feedClient() {
        return components.feedClient;
    }

    /** Returns the coordinator of configuration changes. */
    public ChangeCoordinator changeCoordinator() {
        return components.changeCoordinator;
    }

    /** Returns the upstream endpoints known here. */
    public EndpointRegistry endpointRegistry() {
        return components.discovery.endpointRegistry;
    }

    /** Returns the admission of clients' requests, or null on a core that serves no clients. */
    public AdmissionController admissionController() {
        return components.proxy == null ? null : components.proxy.admissionController;
    }

    /** Returns the counter of requests that upstreams began, or null on a core that serves no clients. */
    public UsageCounter usageCounter() {
        return components.proxy == null ? null : components.proxy.usageCounter;
    }

    /** Returns the acceptor, or null on an edge. */
    public Acceptor acceptor() {
        return components.storage == null ? null : components.storage.acceptor;
    }

    /** Returns whether this core's acceptor may promise and accept now. Only on a core. */
    public boolean votes() {
        return components.storage.votes();
    }

    /** Returns how full this core's log is, as a ratio; at 1 nothing more can be stored. Only on a core. */
    public double logFill() {
        return components.storage.segmentedLog.fill();
    }

    /** Returns the manager of the usage report's lease, or null on an edge. */
    public LeaseManager leaseManager() {
        return components.usage == null ? null : components.usage.leaseManager;
    }
}
