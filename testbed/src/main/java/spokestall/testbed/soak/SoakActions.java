package spokestall.testbed.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.Fleet;
import spokestall.testbed.fleet.FleetMember;

/**
 * The actions of a soak run on its fleet. Thread-safe: several series run concurrently. A majority of the cores and at least one edge
 * always keep running.
 */
final class SoakActions {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long STOP_WAIT_S = 20;
    private static final long CHANGE_WAIT_MS = 15_000;
    private static final long CHANGE_PAUSE_MS = 50;
    private static final int ACCEPTED = 1000;

    private final Fleet fleet;
    private final Deployment deployment;
    private final ProcessHistory history;
    private final SoakVerdict verdict;
    private final List<FleetMember> members;
    /** Members that an action is stopping, killing or starting. */
    private final Set<FleetMember> busy = ConcurrentHashMap.newKeySet();

    private final Semaphore coresDown;
    private final Semaphore edgesDown;
    private final AtomicInteger changes = new AtomicInteger();

    SoakActions(
            final Fleet fleet, final Deployment deployment, final ProcessHistory history, final SoakVerdict verdict) {
        this.fleet = fleet;
        this.deployment = deployment;
        this.history = history;
        this.verdict = verdict;
        this.members = List.copyOf(fleet.members().values());
        final int cores = (int) members.stream().filter(m -> m.core).count();
        this.coresDown = new Semaphore((cores - 1) / 2);
        this.edgesDown = new Semaphore(members.size() - cores - 1);
    }

    private FleetMember anyMember(final Random random) {
        return members.get(random.nextInt(members.size()));
    }

    /** Changes a setting of a random member and sends its process HUP, unless the process hasn't started yet. */
    void changeSettingAndHangup(final Random random) throws IOException, InterruptedException {
        final FleetMember member = anyMember(random);
        member.changeSetting("whereS", random.nextBoolean() ? "2" : "3");
        sendHangupIfStarted(member);
    }

    /** Sends HUP only to a process that has logged its start: before the program installs its handler, the signal would end it. */
    private static void sendHangupIfStarted(final FleetMember member) throws IOException, InterruptedException {
        if (member.hasStarted()) {
            member.signal("HUP");
        }
    }

    /** Sends a random member this number of stop signals, waits for its process to end and starts it again. */
    void restart(final Random random, final int stopSignals) throws IOException, InterruptedException {
        final FleetMember member = anyMember(random);
        runWithMemberDown(member, () -> {
            final Process process = member.process;
            history.recordStop(process.pid());
            for (int i = 0; i < stopSignals; i++) {
                process.destroy();
                Fleet.pause(random.nextInt(200));
                if (i + 1 < stopSignals && process.isAlive()) {
                    sendHangupIfStarted(member);
                }
            }
            verdict.onStopEnded(member, process, process.waitFor(STOP_WAIT_S, TimeUnit.SECONDS));
            process.destroyForcibly().waitFor();
        });
    }

    /** Kills a random member and starts it again after a delay. */
    void kill(final Random random, final long downMs) throws IOException, InterruptedException {
        final FleetMember member = anyMember(random);
        runWithMemberDown(member, () -> {
            history.recordKill(member.process.pid());
            member.process.destroyForcibly().waitFor();
            Fleet.pause(downMs);
        });
    }

    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    /**
     * Runs an action that ends a member, starts the member again and waits until it is fresh. Does nothing if another action uses the member
     * or if too many members are down.
     */
    private void runWithMemberDown(final FleetMember member, final Action action)
            throws IOException, InterruptedException {
        final Semaphore downLimit = member.core ? coresDown : edgesDown;
        if (!busy.add(member)) {
            return;
        }
        try {
            if (!downLimit.tryAcquire()) {
                return;
            }
            try {
                verdict.checkAlive(member);
                action.run();
                fleet.start(member);
                verdict.onRestarted();
                fleet.awaitFresh(member);
            } finally {
                downLimit.release();
            }
        } finally {
            busy.remove(member);
        }
    }

    /** Adds a route; retries at random nodes until one of them acknowledges the change or {@link #CHANGE_WAIT_MS} is over. */
    void change(final Random random) {
        final String name = "soak" + changes.incrementAndGet();
        final long untilMs = System.currentTimeMillis() + CHANGE_WAIT_MS;
        while (System.currentTimeMillis() < untilMs) {
            final FleetMember member = anyMember(random);
            final JsonNode current = fleet.call(member.operators, "policy.get", JSON.createObjectNode());
            final long base = current.path("result").path("version").asLong(-1);
            if (base >= 0
                    && fleet.call(member.operators, "policy.patch", patch(base, name))
                                    .path("code")
                                    .asInt()
                            == ACCEPTED) {
                verdict.onAcknowledged(name);
                return;
            }
            Fleet.pause(CHANGE_PAUSE_MS);
        }
        verdict.onUnacknowledged(name);
    }

    private ObjectNode patch(final long base, final String name) {
        final ObjectNode params = JSON.createObjectNode().put("base", base).put("changeId", name);
        params.set("patch", Deployment.routePatch(name, "/more/" + name, deployment.largeService));
        return params;
    }
}
