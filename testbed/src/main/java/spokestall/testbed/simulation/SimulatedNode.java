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

/** A machine that runs the real node: it can be killed, lose power or its disk, freeze, and have its clock jump. */
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
    private final ArrayDeque<Runnable> held = new ArrayDeque<>();
    private final long monotonicMs;
    private Node node;
    private long incarnation;
    private boolean frozen;
    private long wallJumpMs;
    private long versionSeen;

    SimulatedNode(
            final SimulatedWorld world,
            final String name,
            final boolean core,
            final int i,
            final Map<String, String> more) {
        this.world = world;
        this.name = name;
        this.core = core;
        this.zone = Deployment.zone(i);
        this.region = Deployment.region(i);
        this.address = "10.0." + (core ? 1 : 2) + "." + (i + 1) + ":7100";
        this.http = "10.0." + (core ? 1 : 2) + "." + (i + 1) + ":7200";
        this.monotonicMs = 1000L + world.sim.random(name + "/mono").nextInt(1_000_000);
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
        flags.putAll(more);
        read();
        world.net.place(address, region);
    }

    private void read() {
        final SettingsResult read = SettingsReader.read(null, flags, core);
        if (read instanceof SettingsResult.Invalid bad) {
            throw new IllegalStateException(bad.errors().toString());
        }
        settings = ((SettingsResult.Valid) read).settings();
    }

    /** From its next start on. */
    void set(final String key, final String value) {
        flags.put(key, value);
    }

    int messageVersion() {
        return (int) settings.integer("noteVersion");
    }

    public Node node() {
        return node;
    }

    public boolean up() {
        return node != null;
    }

    public boolean running() {
        return node != null && !frozen;
    }

    long wallMs() {
        return SimulatedWorld.EPOCH_MS + world.sim.nowMs() + wallJumpMs;
    }

    long nowMs() {
        return monotonicMs + world.sim.nowMs();
    }

    public void start() {
        if (node != null) {
            return;
        }
        incarnation++;
        read();
        // Only a machine's very first start may be told that the fleet has never run.
        set("bootstrap", "0");
        final long mine = incarnation;
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
                world.sim.after(Math.max(0, waitMs), () -> run(mine, event));
            }
        };
        final Random random = world.sim.random(name + "/" + incarnation);
        world.sim.trace("start " + name + " life " + incarnation);
        final NodeEnvironment environment = new NodeEnvironment(
                clock,
                random,
                (to, message) -> world.send(this, mine, to, message),
                core
                        ? disk.incarnation(
                                () -> incarnation == mine && node != null,
                                e -> run(mine, e),
                                world.injectedFault == InjectedFault.LYING_DISK)
                        : null,
                world.outside.of(this, mine),
                world.outside.of(this, mine),
                world.outside.of(this, mine),
                AuditSink.NONE);
        node = new Node(settings, core, environment);
        node.start();
        versionSeen = 0;
    }

    /** Runs an event of one life: not after its end, and not while frozen. */
    public void run(final long ofIncarnation, final Runnable event) {
        if (incarnation != ofIncarnation || node == null) {
            return;
        }
        if (frozen) {
            held.add(() -> run(ofIncarnation, event));
            return;
        }
        event.run();
        watch();
    }

    /** Invariants that hold at every step of a life. */
    private void watch() {
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

    void hear(final long ofIncarnation, final Message message) {
        run(ofIncarnation, () -> node.onMessage(message));
    }

    public void kill() {
        down("kill", SimulatedDisk::loseProcess);
    }

    public void losePower() {
        down("power", SimulatedDisk::losePower);
    }

    private void down(final String how, final Consumer<SimulatedDisk> loss) {
        if (node != null) {
            world.sim.trace(how + " " + name);
            node = null;
            incarnation++;
            held.clear();
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
            while (!held.isEmpty() && !frozen && node != null) {
                held.poll().run();
            }
        }
    }

    void jump(final long ms) {
        world.sim.trace("jump " + name + " " + ms);
        wallJumpMs += ms;
    }
}
