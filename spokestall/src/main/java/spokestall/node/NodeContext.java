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
 * What every component of one node is created with: the node's identity and settings, and its access to time, randomness and
 * the network.
 *
 * <p>Not thread-safe; all calls on the node's event loop. The settings in force may change while the node runs; all else is
 * fixed for one incarnation.
 */
final class NodeContext {
    /** Random low bits of an incarnation, in case that a node starts twice within a millisecond. */
    private static final int INCARNATION_RANDOM_BITS = 10;

    final String name;
    final String address;
    /** Whether the node has a disk and may vote. */
    final boolean core;
    /** Whether the node serves clients: each edge does, and a core that is configured to. */
    final boolean servesClients;
    /** Differs for each start of the node and rises over them, as long as the machine's clock does. */
    final long incarnation;

    final Clock clock;
    final Random random;
    /** The fleet's common time. */
    final FleetClock fleetClock;
    /** Sends messages to any node by its address, this one included. */
    final MessageSender messageSender;

    private Settings settings;

    /** Messages to the node's own address are passed to {@code ownReceiver}, each as an event of its own on the event loop. */
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

    /** Puts newer settings in force. */
    void applySettings(final Settings newer) {
        settings = newer;
    }

    /** Returns the periods and bounds that follow from the settings in force. */
    Timings timings() {
        return new Timings(settings, core);
    }

    /** Returns this incarnation's name as a proposer, which no other incarnation of any node has. */
    String proposerId() {
        return name + "#" + Long.toHexString(incarnation);
    }

    /** Returns a new random identity for a disk that has none yet. */
    String freshDiskId() {
        return name + "/" + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    }

    /** Returns this node as it describes itself to others. */
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
