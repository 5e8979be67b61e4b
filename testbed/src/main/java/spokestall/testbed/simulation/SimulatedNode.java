package spokestall.testbed.simulation;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import spokestall.audit.AuditSink;
import spokestall.message.Message;
import spokestall.node.Node;
import spokestall.node.NodeEnvironment;
import spokestall.settings.Settings;
import spokestall.settings.SettingsReader;
import spokestall.settings.SettingsResult;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.verdict.Rule;
import spokestall.time.Clock;

/** Simulated machine that runs the real node. It can be killed, lose power, freeze, and have its wall clock jump. */
public final class SimulatedNode {
    public final String name;
    public final boolean core;
    final String zone;
    final String region;
    String address;
    final String http;
    public final SimulatedDisk disk;
    private final SimulatedWorld world;
    private final Map<String, String> flags;
    private Settings settings;
    private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();
    private final long monotonicOffsetMs;
    private Node node;
    private long incarnation;
    private boolean frozen;
    private long wallOffsetMs;
    private long versionSeen;

    SimulatedNode(
            final SimulatedWorld world,
            final String name,
            final boolean core,
            final int zoneIndex,
            final Map<String, String> extraSettings) {
        this.world = world;
        this.name = name;
        this.core = core;
        this.zone = Deployment.zone(zoneIndex);
        this.region = Deployment.region(zoneIndex);
        this.address = "10.0." + (core ? 1 : 2) + "." + (zoneIndex + 1) + ":7100";
        this.http = "10.0." + (core ? 1 : 2) + "." + (zoneIndex + 1) + ":7200";
        this.monotonicOffsetMs = 1000L + world.sim.random(name + "/mono").nextInt(1_000_000);
        this.disk = core ? new SimulatedDisk(world.sim, world.sim.random(name + "/disk"), 8, world.segmentBytes) : null;
        this.flags = new HashMap<>();
        flags.put("name", name);
        flags.put("address", address);
        flags.put("http", http);
        flags.put("district", zone);
        flags.put("districts", Deployment.zoneSetting());
        flags.put("seeds", "10.0.1.1:7100,10.0.1.3:7100,10.0.1.5:7100");
        flags.put("platform", "10.0.9.1:80");
        flags.put("data", "/sim/" + name);
        flags.putAll(extraSettings);
        readSettings();
        world.net.place(address, region);
    }

    private void readSettings() {
        final SettingsResult read = SettingsReader.read(null, flags, core);
        if (read instanceof SettingsResult.Invalid bad) {
            throw new IllegalStateException(bad.errors().toString());
        }
        settings = ((SettingsResult.Valid) read).settings();
    }

    /** Changes a setting; the change takes effect at the node's next start. */
    void changeSetting(final String key, final String value) {
        flags.put(key, value);
    }

    int messageVersion() {
        return (int) settings.integer("noteVersion");
    }

    public Node node() {
        return node;
    }

    public boolean isUp() {
        return node != null;
    }

    public boolean isRunning() {
        return node != null && !frozen;
    }

    long wallMs() {
        return SimulatedWorld.EPOCH_MS + world.sim.nowMs() + wallOffsetMs;
    }

    long nowMs() {
        return monotonicOffsetMs + world.sim.nowMs();
    }

    public void start() {
        if (node != null) {
            return;
        }
        incarnation++;
        readSettings();
        // The bootstrap setting says that the fleet has never run, which is true only at a machine's first start.
        changeSetting("bootstrap", "0");
        final long ownIncarnation = incarnation;
        final Clock clock = new Clock() {
            @Override
            public long nowMs() {
                return SimulatedNode.this.nowMs();
            }

            @Override
            public long wallMs() {
                return SimulatedNode.this.wallMs();
            }

            @Override
            public void after(final long waitMs, final Runnable event) {
                world.sim.after(Math.max(0, waitMs), () -> run(ownIncarnation, event));
            }
        };
        final Random random = world.sim.random(name + "/" + incarnation);
        world.sim.trace("start " + name + " life " + incarnation);
        final NodeEnvironment environment = new NodeEnvironment(
                clock,
                random,
                (to, message) -> world.send(this, ownIncarnation, to, message),
                core
                        ? disk.incarnation(
                                () -> incarnation == ownIncarnation && node != null,
                                e -> run(ownIncarnation, e),
                                world.injectedFault == InjectedFault.LYING_DISK)
                        : null,
                world.environment.clientsOf(this, ownIncarnation),
                world.environment.clientsOf(this, ownIncarnation),
                world.environment.clientsOf(this, ownIncarnation),
                AuditSink.NONE);
        node = new Node(settings, core, environment);
        node.start();
        versionSeen = 0;
    }

    /** Runs an event of one incarnation. Drops the event if the incarnation has ended, and defers it while the node is frozen. */
    public void run(final long ofIncarnation, final Runnable event) {
        if (incarnation != ofIncarnation || node == null) {
            return;
        }
        if (frozen) {
            deferredEvents.add(() -> run(ofIncarnation, event));
            return;
        }
        event.run();
        checkInvariants();
    }

    /** Checks the invariants that hold after every event of an incarnation. */
    private void checkInvariants() {
        if (node == null) {
            return;
        }
        final long version = node.configurationStore().configuration().version();
        if (version < versionSeen) {
            world.judge.violated(Rule.POLICY, name + " went from " + versionSeen + " back to " + version);
        }
        versionSeen = version;
    }

    public long incarnation() {
        return incarnation;
    }

    void deliver(final long ofIncarnation, final Message message) {
        run(ofIncarnation, () -> node.onMessage(message));
    }

    public void kill() {
        stop("kill", SimulatedDisk::loseProcess);
    }

    public void losePower() {
        stop("power", SimulatedDisk::losePower);
    }

    private void stop(final String reason, final Consumer<SimulatedDisk> loss) {
        if (node != null) {
            world.sim.trace(reason + " " + name);
            node = null;
            incarnation++;
            deferredEvents.clear();
            frozen = false;
            if (disk != null) {
                loss.accept(disk);
            }
        }
    }

    void freeze() {
        world.sim.trace("freeze " + name);
        frozen = node != null;
    }

    void thaw() {
        if (frozen) {
            world.sim.trace("thaw " + name);
            frozen = false;
            while (!deferredEvents.isEmpty() && !frozen && node != null) {
                deferredEvents.poll().run();
            }
        }
    }

    void jumpWallClock(final long ms) {
        world.sim.trace("jump " + name + " " + ms);
        wallOffsetMs += ms;
    }
}
