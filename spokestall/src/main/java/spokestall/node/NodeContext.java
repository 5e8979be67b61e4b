package spokestall.node;

import java.util.Random;
import spokestall.gossip.NodeInfo;
import spokestall.message.Message;
import spokestall.message.MessageSender;
import spokestall.settings.Settings;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/** What every part of one node is made with: who the node is, its settings, and how it gets time, chance and messages out. */
final class NodeContext {
    final String name;
    final String address;
    final boolean core;
    final boolean serves;
    final long incarnation;
    final Clock clock;
    final Random random;
    final FleetClock fleet;
    final MessageSender post;
    private Settings settings;

    /** A message to this node itself goes to the receiver, as an event of its own. */
    NodeContext(
            final Settings settings,
            final boolean core,
            final Node.NodeEnvironment environment,
            final java.util.function.Consumer<Message> receiver) {
        this.settings = settings;
        this.core = core;
        this.name = settings.text("name");
        this.address = settings.text("address");
        this.serves = !core || settings.integer("alsoEdge") == 1;
        this.clock = environment.clock();
        this.random = environment.random();
        this.incarnation = clock.wallMs() << 10 | random.nextInt(1 << 10);
        this.fleet = new FleetClock(clock, settings.fractionOf("farMs", 2));
        this.post = (to, message) -> {
            if (to.equals(address)) {
                clock.after(0, () -> receiver.accept(message));
            } else {
                environment.post().send(to, message);
            }
        };
    }

    /** The settings in force; a running node may take some newer ones. */
    Settings settings() {
        return settings;
    }

    void renew(final Settings newer) {
        settings = newer;
    }

    Timings timings() {
        return new Timings(settings, core);
    }

    /** This node's life as a proposer: no two lives share it. */
    String proposerId() {
        return name + "#" + Long.toHexString(incarnation);
    }

    /** An identity for a disk that has none yet. */
    String freshDiskId() {
        return name + "/" + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    }

    /** This node as others speak of it. */
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
                core && serves);
    }
}
