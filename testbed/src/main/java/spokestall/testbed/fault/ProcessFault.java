package spokestall.testbed.fault;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import spokestall.message.MessageCodec;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.Fleet;
import spokestall.testbed.fleet.FleetMember;
import spokestall.testbed.standin.UpstreamStandIn;
import spokestall.testbed.verdict.FleetJudge;
import spokestall.testbed.verdict.Rule;

/** A failure that is injected into a fleet of real processes while clients send requests. */
public enum ProcessFault {
    KILL {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (final String name : List.of("d2-core", "d5-edge", "d2-edge")) {
                killAndRestart(fleet, List.of(name), 3000);
            }
        }
    },
    HOLDER {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (int i = 0; i < 2; i++) {
                killAndRestart(fleet, List.of(fleet.leaseHolder().name), 5000);
                Fleet.pause(3000);
            }
        }
    },
    DISTRICT_KILL {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            killAndRestart(fleet, fleet.memberNames(m -> m.name.startsWith("d4-")), 6000);
        }
    },
    REGION_KILL {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            killAndRestart(fleet, fleet.memberNames(m -> m.name.startsWith("d5-") || m.name.startsWith("d6-")), 9000);
        }
    },
    RESTART_ALL {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            final long fromMs = System.currentTimeMillis();
            killAndRestart(fleet, fleet.memberNames(m -> true), 0);
            judge.unavailable(fromMs, System.currentTimeMillis() + START_MS, false);
        }

        @Override
        public double minServedRatio() {
            return 0.6;
        }
    },
    FREEZE {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (final FleetMember m :
                    List.of(fleet.leaseHolder(), fleet.members().get("d3-edge"))) {
                m.signal("STOP");
                Fleet.pause(6000);
                m.signal("CONT");
            }
        }
    },
    FREEZE_AT_SEND {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            final FleetMember holder = fleet.leaseHolder();
            Files.createFile(holder.faultHooks.resolve("gap"));
            Fleet.waitUntil(
                    "another core holds the lease",
                    20_000,
                    () -> !fleet.leaseHolder().name.equals(holder.name));
            Files.delete(holder.faultHooks.resolve("gap"));
        }
    },
    TURN {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (final FleetMember m : fleet.members().values()) {
                m.process.destroy();
                m.process.waitFor();
                fleet.start(m);
                fleet.awaitFresh(m);
            }
        }
    },
    UPGRADE {
        @Override
        public void prepare(final Fleet fleet) throws IOException {
            fleet.changeSetting("noteVersion", MessageCodec.OLDEST_VERSION);
        }

        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            fleet.changeSetting("noteVersion", MessageCodec.CURRENT_VERSION);
            TURN.inject(fleet, judge);
        }
    },
    WIPE {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            wipeAndRestart(fleet, List.of("d4-core"));
        }
    },
    WIPE_FOUR {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            final long fromMs = System.currentTimeMillis();
            wipeAndRestart(fleet, List.of("d1-core", "d2-core", "d3-core", "d6-core"));
            judge.unavailable(fromMs, System.currentTimeMillis() + START_MS, true);
        }

        @Override
        public double minServedRatio() {
            return 0.5;
        }
    },
    DISK_STALLS {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            final Path stall = fleet.leaseHolder().faultHooks.resolve("stall");
            Files.createFile(stall);
            Fleet.pause(8000);
            Files.delete(stall);
        }
    },
    DISK_FULL {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            final FleetMember core = fleet.members().get("d2-core");
            final Path full = core.faultHooks.resolve("full");
            Files.createFile(full);
            Fleet.waitUntil(
                    "the core's voter has stopped",
                    20_000,
                    () -> fleet.status(core).path("voter").asText().equals("STOPPED"));
            Fleet.pause(4000);
            // An operator replaces the disk: the core restarts with an empty data folder.
            core.process.destroyForcibly().waitFor();
            Files.delete(full);
            delete(core.data);
            fleet.start(core);
        }
    },
    CUT {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (final String name : List.of("d1-core", "d4-edge")) {
                partitionFor(fleet, List.of(name), 5000);
            }
        }
    },
    CUT_ONE_WAY {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            // First the lease holder and then an edge can't send; both still receive everything.
            for (final String name : List.of(fleet.leaseHolder().name, "d4-edge")) {
                fleet.memberNames(m -> true).forEach(o -> fleet.links().setCut(name, o, true));
                Fleet.pause(5000);
                fleet.memberNames(m -> true).forEach(o -> fleet.links().setCut(name, o, false));
            }
        }
    },
    SPLIT_33 {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            final long fromMs = System.currentTimeMillis();
            partitionFor(fleet, fleet.memberNames(m -> m.name.compareTo("d4") < 0), 6000);
            judge.unavailable(fromMs, System.currentTimeMillis(), false);
        }

        @Override
        public double minServedRatio() {
            return 0.6;
        }
    },
    SPLIT_42 {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            partitionFor(fleet, fleet.memberNames(m -> m.name.compareTo("d3") < 0), 6000);
        }
    },
    SPLIT_51 {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            partitionFor(fleet, List.of(fleet.leaseHolder().name), 6000);
        }
    },
    LOSSY {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            fleet.links().setLoss(0.05, 10);
            Fleet.pause(10_000);
            fleet.links().setLoss(0, -10);
        }

        @Override
        public double minServedRatio() {
            // One chunk in twenty delays its connection by 0.2 to 0.6 s. An edge rejects requests while a majority of
            // the cores hasn't acknowledged its counts in time.
            return 0.8;
        }
    },
    OPERATORS {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (int i = 0; i < 6; i++) {
                raceOperators(fleet, judge, i);
            }
        }
    },
    WITHDRAW_CUT {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            final List<String> lone = List.of("d3-edge");
            fleet.links().setPartitioned(lone, fleet.memberNames(m -> !lone.contains(m.name)), true);
            final ObjectNode key = JSON.createObjectNode()
                    .put("cell", Deployment.cell(1))
                    .put("tenant", Deployment.tenant(1))
                    .put("keyId", "main")
                    .put("changeId", "gone");
            callUntilAccepted(fleet, fleet.anyCore(), "key.withdraw", key);
            final long fromMs = System.currentTimeMillis();
            Fleet.pause(8000);
            judge.withdrawnKeys(Deployment.tenant(1), fromMs, System.currentTimeMillis());
            judge.judge().check(Rule.KEY, 0, "withdrawn");
            key.put("changeId", "back").put("key", Deployment.key(1));
            callUntilAccepted(fleet, fleet.anyCore(), "key.add", key);
            fleet.links().setPartitioned(lone, fleet.memberNames(m -> !lone.contains(m.name)), false);
        }

        @Override
        public double minServedRatio() {
            return 0.6;
        }
    },
    HOLD_DIES {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            callUntilAccepted(
                    fleet,
                    fleet.anyCore(),
                    "hold.set",
                    JSON.createObjectNode().put("district", "d3").put("changeId", "hold"));
            final long fromMs = System.currentTimeMillis();
            Fleet.pause(2000);
            killAndRestart(fleet, fleet.memberNames(m -> m.name.startsWith("d3-")), 4000);
            Fleet.pause(2000);
            judge.drained("d3", fromMs, System.currentTimeMillis());
            judge.judge().check(Rule.LEAVING, 0, "held");
            callUntilAccepted(
                    fleet,
                    fleet.anyCore(),
                    "hold.clear",
                    JSON.createObjectNode().put("district", "d3").put("changeId", "clear"));
        }
    },
    OVERLOAD {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            // Upstreams can serve twice the usual load. For 8 s clients send ten times the usual load.
            fleet.standIns().forEach(u -> u.setServiceTimeMs(90));
            final Process more =
                    fleet.startLoadGenerator(8, 0, 1800, fleet.folder().resolve("more"));
            more.waitFor();
        }

        @Override
        public double minServedRatio() {
            return 0.3;
        }
    },
    BAD_ANSWERS {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            final UpstreamStandIn.Behavior[] all = UpstreamStandIn.Behavior.values();
            for (int i = 0; i < fleet.standIns().size(); i += 3) {
                fleet.standIns().get(i).setBehavior(all[1 + i / 3 % (all.length - 1)]);
            }
            Fleet.pause(8000);
            fleet.standIns().forEach(u -> u.setBehavior(UpstreamStandIn.Behavior.WELL));
        }

        @Override
        public double minServedRatio() {
            return 0.85;
        }
    },
    DRAIN {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (int i = 0; i < 4; i++) {
                final UpstreamStandIn up = fleet.standIns().get(i * 5);
                up.startLeaving();
                judge.drained(up.place().instance(), System.currentTimeMillis(), Long.MAX_VALUE);
                judge.judge().check(Rule.LEAVING, 0, "leaving");
                Fleet.pause(4000);
                up.stop();
            }
        }
    },
    PASSED_ON {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            // Upstreams stop without notice, and a cold upstream of the other service takes over each address.
            for (int i = 0; i < 4; i++) {
                final UpstreamStandIn old = fleet.standIns().get(3 + i * 8);
                old.stop();
                final Deployment.Place was = old.place();
                final String other = was.service().equals(Deployment.PADMA.largeService)
                        ? Deployment.PADMA.smallService
                        : was.service().equals(Deployment.PADMA.smallService)
                                ? Deployment.PADMA.largeService
                                : was.service().equals(Deployment.VERDE.largeService)
                                        ? Deployment.VERDE.smallService
                                        : Deployment.VERDE.largeService;
                judge.warmingUp(
                        fleet.replaceUpstream(
                                old, new Deployment.Place(other + "-new-" + i, other, was.zone(), was.region())),
                        System.currentTimeMillis());
                Fleet.pause(2500);
            }
        }
    },
    COLD_RETURN {
        @Override
        public void inject(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (final UpstreamStandIn old : fleet.standIns()) {
                if (Integer.parseInt(old.place().instance().replaceAll(".*-", "")) % 2 == 0) {
                    old.stop();
                    final Deployment.Place was = old.place();
                    judge.warmingUp(
                            fleet.replaceUpstream(
                                    old,
                                    new Deployment.Place(
                                            was.instance() + "-new", was.service(), was.zone(), was.region())),
                            System.currentTimeMillis());
                }
            }
            Fleet.pause(10_000);
        }

        @Override
        public double minServedRatio() {
            return 0.85;
        }
    };

    private static final ObjectMapper JSON = new ObjectMapper();
    /** Upper bound for a fleet to become available after all of its processes were started at once. */
    private static final long START_MS = 4000;

    /** Injects the failure and, where it is temporary, ends it again. */
    public abstract void inject(Fleet fleet, FleetJudge judge) throws Exception;

    /** Prepares the fleet before it starts. */
    public void prepare(final Fleet fleet) throws IOException {}

    /**
     * Returns the ratio of requests that must be served. It is lower for failures during which nodes deny requests: without a majority of
     * the cores, or with a withdrawn key.
     */
    public double minServedRatio() {
        return 0.95;
    }

    /** Kills the named processes at once, waits, and starts them again. */
    private static void killAndRestart(final Fleet fleet, final List<String> names, final long downMs)
            throws Exception {
        for (final String name : names) {
            fleet.members().get(name).process.destroyForcibly();
        }
        for (final String name : names) {
            fleet.members().get(name).process.waitFor();
        }
        Fleet.pause(downMs);
        for (final String name : names) {
            fleet.start(fleet.members().get(name));
        }
    }

    private static void partitionFor(final Fleet fleet, final List<String> isolated, final long durationMs) {
        final List<String> others = fleet.memberNames(m -> !isolated.contains(m.name));
        fleet.links().setPartitioned(isolated, others, true);
        Fleet.pause(durationMs);
        fleet.links().setPartitioned(isolated, others, false);
    }

    private static void wipeAndRestart(final Fleet fleet, final List<String> names) throws Exception {
        for (final String name : names) {
            fleet.members().get(name).process.destroyForcibly().waitFor();
        }
        for (final String name : names) {
            delete(fleet.members().get(name).data);
            fleet.start(fleet.members().get(name));
        }
    }

    private static void delete(final Path folder) throws IOException {
        final List<Path> all;
        try (Stream<Path> walk = Files.walk(folder)) {
            all = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (final Path path : all) {
            Files.delete(path);
        }
    }

    private static long configurationVersion(final Fleet fleet, final FleetMember core) {
        return fleet.call(core.operators, "policy.get", JSON.createObjectNode())
                .path("result")
                .path("version")
                .asLong();
    }

    /** Repeats a change with the same change id until it is accepted; returns its version. */
    private static long callUntilAccepted(
            final Fleet fleet, final FleetMember core, final String method, final ObjectNode params) {
        final long[] version = {0};
        Fleet.waitUntil(method + " is accepted", 20_000, () -> {
            params.put("base", configurationVersion(fleet, core));
            final JsonNode reply = fleet.call(core.operators, method, params);
            version[0] = reply.path("result").path("version").asLong();
            return reply.path("code").asInt() == 1000;
        });
        return version[0];
    }

    /**
     * Has two operators submit a change at the same time, to two cores and against the same base version. At most one change may be accepted,
     * and an accepted one must soon be in force at every node.
     */
    private static void raceOperators(final Fleet fleet, final FleetJudge judge, final int round)
            throws InterruptedException {
        final long base = configurationVersion(fleet, fleet.members().get("d1-core"));
        final List<JsonNode> replies = new ArrayList<>();
        final List<Thread> operators = new ArrayList<>();
        for (final String coreName : List.of("d2-core", "d5-core")) {
            final ObjectNode params =
                    JSON.createObjectNode().put("base", base).put("changeId", "race-" + round + coreName);
            params.set(
                    "patch",
                    Deployment.routePatch("race-" + round + coreName, "/race/" + round + coreName, anyService(fleet)));
            final Thread operator = new Thread(() -> {
                final JsonNode reply = fleet.call(fleet.members().get(coreName).operators, "policy.patch", params);
                synchronized (replies) {
                    replies.add(reply);
                }
            });
            operators.add(operator);
            operator.start();
        }
        for (final Thread operator : operators) {
            operator.join();
        }
        final long atMs = System.currentTimeMillis();
        final long acceptedCount =
                replies.stream().filter(r -> r.path("code").asInt() == 1000).count();
        judge.judge()
                .check(
                        Rule.POLICY,
                        acceptedCount <= 1 ? 0 : 2,
                        acceptedCount + " of two changes against the same base were accepted");
        for (final FleetMember m : fleet.members().values()) {
            if (acceptedCount == 1) {
                Fleet.waitUntil(
                        "the accepted change is in force",
                        20_000,
                        () -> fleet.status(m).path("version").asLong() > base);
                judge.judge()
                        .check(
                                Rule.POLICY,
                                (System.currentTimeMillis() - atMs) / (double) Rule.POLICY.strictBoundMs,
                                m.name);
            }
        }
    }

    private static String anyService(final Fleet fleet) {
        return fleet.standIns().get(0).place().service();
    }
}
