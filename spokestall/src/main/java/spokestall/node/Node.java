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
 * <p>Not thread-safe; all calls on the node's event loop, except {@link #directory}. Time, randomness, network and disk
 * are passed in as a {@link NodeEnvironment}, so that a process and the simulator run the same node.
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

    /** Creates a node that uses spokestall's own configuration format. A core loads the state on its disk. */
    public Node(final Settings settings, final boolean core, final NodeEnvironment environment) {
        this(settings, core, environment, null);
    }

    /**
     * Creates a node that uses a foreign configuration format. A core loads the state on its disk.
     *
     * @param foreignFormat the format, or null for spokestall's own
     */
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
            // The coordinator may start another proposal, which must not happen within the feed client's own event.
            context.clock.after(0, components.changeCoordinator::onConfigurationApplied);
            if (components.proxy != null) {
                components.proxy.onConfigurationApplied();
            }
            if (components.storage != null) {
                components.storage.onConfigurationApplied();
            }
        }
    }

    /** Starts the node's periodic tasks. Called once. */
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

    /** Handles a message from another node or from this one. Ignores messages after the node has stopped. */
    public void onMessage(final Message message) {
        if (!ticker.stopped()) {
            dispatcher.onMessage(message);
        }
    }

    /**
     * Applies those of the newer settings that can change while a node runs, and returns the settings now in force. A
     * bootstrap in progress keeps the seeds with which it began.
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

    /**
     * Calls the listener with the current configuration, now and each time a newer one is applied. Replaces the
     * previous listener.
     */
    public void listenToConfiguration(final Consumer<Configuration> listener) {
        configurationListener = listener;
        configurationListener.accept(components.configurationStore.configuration());
    }

    /** Runs an API call. {@code done} receives the reply, possibly before this method returns. */
    public void call(final String method, final JsonNode params, final Consumer<Reply> done) {
        components.calls.call(method, params, done);
    }

    /**
     * Shuts the node down in order: the edge directory stops listing this node, then requests end. While the last
     * responses are written, a core releases its lease and makes sure that a majority without itself stores what it
     * accepted. {@code done} runs after the last step.
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

    /** Stops the node once its connections have ended and {@link #releaseRoles} has completed. */
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

    /**
     * Stops the usage counting, then releases the lease, then hands over the voter state. The lease is not released
     * before the requests have ended, because its holder must still report the requests that edges count until they
     * stop.
     */
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

    /** Returns the directory of edges to which clients are directed. Thread-safe. */
    public EdgeDirectory directory() {
        return components.knownEdges.directory;
    }

    /** Returns the store with the current configuration of this node. */
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

    /** Returns the registry of known upstream endpoints. */
    public EndpointRegistry endpointRegistry() {
        return components.discovery.endpointRegistry;
    }

    /** Returns the admission controller, or null on a core that serves no clients. */
    public AdmissionController admissionController() {
        return components.proxy == null ? null : components.proxy.admissionController;
    }

    /** Returns the counter of requests that upstreams began to run, or null on a core that serves no clients. */
    public UsageCounter usageCounter() {
        return components.proxy == null ? null : components.proxy.usageCounter;
    }

    /** Returns the acceptor, or null on an edge. */
    public Acceptor acceptor() {
        return components.storage == null ? null : components.storage.acceptor;
    }

    /** Returns whether this core's acceptor may promise and accept now. Must only be called on a core. */
    public boolean votes() {
        return components.storage.votes();
    }

    /**
     * Returns the fill ratio of this core's log; at 1 the log accepts no more entries. Must only be called on a core.
     */
    public double logFill() {
        return components.storage.segmentedLog.fill();
    }

    /** Returns the manager of the lease on reporting usage, or null on an edge. */
    public LeaseManager leaseManager() {
        return components.usage == null ? null : components.usage.leaseManager;
    }
}
