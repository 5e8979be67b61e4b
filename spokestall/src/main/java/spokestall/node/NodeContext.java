package spokestall.node;

import java.util.Random;
import java.util.function.Consumer;
import spokestall.gossip.NodeInfo;
import spokestall.message.Message;
import spokestall.message.MessageSender;
import spokestall.settings.Settings;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * The identity, settings, time, randomness and network access that all components of one node share.
 *
 * <p>Not thread-safe; all calls on the node's event loop. The settings may change while the node runs; everything else
 * is fixed for one incarnation.
 */
final class NodeContext {
    /** Random low bits of an incarnation number, in case the node starts twice within one millisecond. */
    private static final int INCARNATION_RANDOM_BITS = 10;

    final String name;
    final String address;
    /** Whether the node has a disk and may vote. */
    final boolean core;
    /** Whether the node serves clients: every edge does, and a core if its settings say so. */
    final boolean servesClients;
    /**
     * The incarnation number: unique for each start of the node, and increasing from start to start as long as the
     * machine's clock does.
     */
    final long incarnation;

    final Clock clock;
    final Random random;
    /** The fleet's common time. */
    final FleetClock fleetClock;
    /** Sends messages to any node by its address, including this node. */
    final MessageSender messageSender;

    private Settings settings;

    /**
     * Creates the context.
     *
     * @param ownReceiver receives messages to the node's own address, each as a separate event on the event loop
     */
    NodeContext(
            final Settings settings,
            final boolean core,
            final NodeEnvironment environment,
            final Consumer<Message> ownReceiver) {
        this.settings = settings;
        this.core = core;
        this.name = settings.text("name");
        this.address = settings.text("address");
        this.servesClients = !core || settings.integer("alsoEdge") == 1;
        this.clock = environment.clock();
        this.random = environment.random();
        this.incarnation = clock.wallMs() << INCARNATION_RANDOM_BITS | random.nextInt(1 << INCARNATION_RANDOM_BITS);
        this.fleetClock = new FleetClock(clock, settings.fractionOf("farMs", 2));
        this.messageSender = (to, message) -> {
            if (to.equals(address)) {
                clock.after(0, () -> ownReceiver.accept(message));
            } else {
                environment.messageSender().send(to, message);
            }
        };
    }

    /** Returns the settings in force. */
    Settings settings() {
        return settings;
    }

    /** Replaces the settings in force. */
    void applySettings(final Settings newer) {
        settings = newer;
    }

    /** Returns the periods and bounds derived from the settings in force. */
    Timings timings() {
        return new Timings(settings, core);
    }

    /** Returns this incarnation's proposer id, which is unique among all incarnations of all nodes. */
    String proposerId() {
        return name + "#" + Long.toHexString(incarnation);
    }

    /** Returns a new random id for a blank disk. */
    String freshDiskId() {
        return name + "/" + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    }

    /** Returns this node's description of itself for other nodes. */
    NodeInfo self() {
        return new NodeInfo(
                name,
                address,
                settings.text("http"),
                core,
                settings.text("district"),
                settings.region(),
                incarnation,
                0,
                false,
                (int) settings.integer("cores"),
                (int) settings.integer("edges"),
                core && servesClients);
    }
}
