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

/** A failure brought about on real processes while asks flow. */
public enum ProcessFault {
    KILL {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (final String name : List.of("d2-core", "d5-edge", "d2-edge")) {
                down(fleet, List.of(name), 3000);
            }
        }
    },
    HOLDER {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (int i = 0; i < 2; i++) {
                down(fleet, List.of(fleet.holder().name), 5000);
                Fleet.pause(3000);
            }
        }
    },
    DISTRICT_KILL {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            down(fleet, fleet.names(m -> m.name.startsWith("d4-")), 6000);
        }
    },
    REGION_KILL {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            down(fleet, fleet.names(m -> m.name.startsWith("d5-") || m.name.startsWith("d6-")), 9000);
        }
    },
    RESTART_ALL {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            final long fromMs = System.currentTimeMillis();
            down(fleet, fleet.names(m -> true), 0);
            judge.unavailable(fromMs, System.currentTimeMillis() + START_MS, false);
        }

        @Override
        public double least() {
            return 0.6;
        }
    },
    FREEZE {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (final FleetMember m : List.of(fleet.holder(), fleet.members().get("d3-edge"))) {
                m.signal("STOP");
                Fleet.pause(6000);
                m.signal("CONT");
            }
        }
    },
    FREEZE_AT_SEND {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            final FleetMember holder = fleet.holder();
            Files.createFile(holder.hooks.resolve("gap"));
            Fleet.until(
                    "another holds the duty", 20_000, () -> !fleet.holder().name.equals(holder.name));
            Files.delete(holder.hooks.resolve("gap"));
        }
    },
    TURN {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (final FleetMember m : fleet.members().values()) {
                m.process.destroy();
                m.process.waitFor();
                fleet.start(m);
                fleet.freshAgain(m);
            }
        }
    },
    UPGRADE {
        @Override
        public void before(final Fleet fleet) throws IOException {
            fleet.set("noteVersion", MessageCodec.OLDEST_VERSION);
        }

        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            fleet.set("noteVersion", MessageCodec.CURRENT_VERSION);
            TURN.bring(fleet, judge);
        }
    },
    WIPE {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            wipe(fleet, List.of("d4-core"));
        }
    },
    WIPE_FOUR {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            final long fromMs = System.currentTimeMillis();
            wipe(fleet, List.of("d1-core", "d2-core", "d3-core", "d6-core"));
            judge.unavailable(fromMs, System.currentTimeMillis() + START_MS, true);
        }

        @Override
        public double least() {
            return 0.5;
        }
    },
    DISK_STALLS {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            final Path stall = fleet.holder().hooks.resolve("stall");
            Files.createFile(stall);
            Fleet.pause(8000);
            Files.delete(stall);
        }
    },
    DISK_FULL {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            final FleetMember core = fleet.members().get("d2-core");
            final Path full = core.hooks.resolve("full");
            Files.createFile(full);
            Fleet.until(
                    "its voter has stopped",
                    20_000,
                    () -> fleet.status(core).path("voter").asText().equals("STOPPED"));
            Fleet.pause(4000);
            // What an operator does: another disk.
            core.process.destroyForcibly().waitFor();
            Files.delete(full);
            delete(core.data);
            fleet.start(core);
        }
    },
    CUT {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (final String name : List.of("d1-core", "d4-edge")) {
                split(fleet, List.of(name), 5000);
            }
        }
    },
    CUT_ONE_WAY {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            // Nothing leaves the holder, then nothing leaves an edge; both still hear all.
            for (final String name : List.of(fleet.holder().name, "d4-edge")) {
                fleet.names(m -> true).forEach(o -> fleet.links().cut(name, o, true));
                Fleet.pause(5000);
                fleet.names(m -> true).forEach(o -> fleet.links().cut(name, o, false));
            }
        }
    },
    SPLIT_33 {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            final long fromMs = System.currentTimeMillis();
            split(fleet, fleet.names(m -> m.name.compareTo("d4") < 0), 6000);
            judge.unavailable(fromMs, System.currentTimeMillis(), false);
        }

        @Override
        public double least() {
            return 0.6;
        }
    },
    SPLIT_42 {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            split(fleet, fleet.names(m -> m.name.compareTo("d3") < 0), 6000);
        }
    },
    SPLIT_51 {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            split(fleet, List.of(fleet.holder().name), 6000);
        }
    },
    LOSSY {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            fleet.links().lossy(0.05, 10);
            Fleet.pause(10_000);
            fleet.links().lossy(0, -10);
        }

        @Override
        public double least() {
            // A piece in twenty holds its wire up by 0.2 to 0.6 s: counts that are not with a majority in time bar
            // asks.
            return 0.8;
        }
    },
    OPERATORS {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (int i = 0; i < 6; i++) {
                race(fleet, judge, i);
            }
        }
    },
    WITHDRAW_CUT {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            final List<String> lone = List.of("d3-edge");
            fleet.links().part(lone, fleet.names(m -> !lone.contains(m.name)), true);
            final ObjectNode key = JSON.createObjectNode()
                    .put("cell", Deployment.cell(1))
                    .put("tenant", Deployment.tenant(1))
                    .put("keyId", "main")
                    .put("changeId", "gone");
            accepted(fleet, fleet.anyCore(), "key.withdraw", key);
            final long fromMs = System.currentTimeMillis();
            Fleet.pause(8000);
            judge.withdrawnKeys(Deployment.tenant(1), fromMs, System.currentTimeMillis());
            judge.judge().check(Rule.KEY, 0, "withdrawn");
            key.put("changeId", "back").put("key", Deployment.key(1));
            accepted(fleet, fleet.anyCore(), "key.add", key);
            fleet.links().part(lone, fleet.names(m -> !lone.contains(m.name)), false);
        }

        @Override
        public double least() {
            return 0.6;
        }
    },
    HOLD_DIES {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            accepted(
                    fleet,
                    fleet.anyCore(),
                    "hold.set",
                    JSON.createObjectNode().put("district", "d3").put("changeId", "hold"));
            final long fromMs = System.currentTimeMillis();
            Fleet.pause(2000);
            down(fleet, fleet.names(m -> m.name.startsWith("d3-")), 4000);
            Fleet.pause(2000);
            judge.drained("d3", fromMs, System.currentTimeMillis());
            judge.judge().check(Rule.LEAVING, 0, "held");
            accepted(
                    fleet,
                    fleet.anyCore(),
                    "hold.clear",
                    JSON.createObjectNode().put("district", "d3").put("changeId", "clear"));
        }
    },
    OVERLOAD {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            // Upstreams take twice the usual demand; ten times as much comes, and then the usual again.
            fleet.standIns().forEach(u -> u.limit(90));
            final Process more = fleet.demand(8, 0, 1800, fleet.folder().resolve("more"));
            more.waitFor();
        }

        @Override
        public double least() {
            return 0.3;
        }
    },
    BAD_ANSWERS {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            final UpstreamStandIn.Manner[] all = UpstreamStandIn.Manner.values();
            for (int i = 0; i < fleet.standIns().size(); i += 3) {
                fleet.standIns().get(i).behave(all[1 + i / 3 % (all.length - 1)]);
            }
            Fleet.pause(8000);
            fleet.standIns().forEach(u -> u.behave(UpstreamStandIn.Manner.WELL));
        }

        @Override
        public double least() {
            return 0.85;
        }
    },
    DRAIN {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (int i = 0; i < 4; i++) {
                final UpstreamStandIn up = fleet.standIns().get(i * 5);
                up.leave();
                judge.drained(up.place().instance(), System.currentTimeMillis(), Long.MAX_VALUE);
                judge.judge().check(Rule.LEAVING, 0, "leaving");
                Fleet.pause(4000);
                up.stop();
            }
        }
    },
    PASSED_ON {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            // Upstreams go at once, and each address passes to a cold one of the other service.
            for (int i = 0; i < 4; i++) {
                final UpstreamStandIn old = fleet.standIns().get(3 + i * 8);
                old.stop();
                final Deployment.Place was = old.place();
                final String other = was.service().equals(Deployment.PADMA.big)
                        ? Deployment.PADMA.small
                        : was.service().equals(Deployment.PADMA.small)
                                ? Deployment.PADMA.big
                                : was.service().equals(Deployment.VERDE.big)
                                        ? Deployment.VERDE.small
                                        : Deployment.VERDE.big;
                judge.warmingUp(
                        fleet.replace(old, new Deployment.Place(other + "-new-" + i, other, was.zone(), was.region())),
                        System.currentTimeMillis());
                Fleet.pause(2500);
            }
        }
    },
    COLD_RETURN {
        @Override
        public void bring(final Fleet fleet, final FleetJudge judge) throws Exception {
            for (final UpstreamStandIn old : fleet.standIns()) {
                if (Integer.parseInt(old.place().instance().replaceAll(".*-", "")) % 2 == 0) {
                    old.stop();
                    final Deployment.Place was = old.place();
                    judge.warmingUp(
                            fleet.replace(
                                    old,
                                    new Deployment.Place(
                                            was.instance() + "-new", was.service(), was.zone(), was.region())),
                            System.currentTimeMillis());
                }
            }
            Fleet.pause(10_000);
        }

        @Override
        public double least() {
            return 0.85;
        }
    };

    private static final ObjectMapper JSON = new ObjectMapper();
    /** A fleet whose processes were all started at once is up within this. */
    private static final long START_MS = 4000;

    public abstract void bring(Fleet fleet, FleetJudge judge) throws Exception;

    /** What must be so before the fleet starts. */
    public void before(final Fleet fleet) throws IOException {}

    /** The share of asks that must run; where a majority is away or a key is withdrawn, asks are denied meanwhile. */
    public double least() {
        return 0.95;
    }

    /** Kills them all at once, and starts them again after a while. */
    private static void down(final Fleet fleet, final List<String> names, final long downMs) throws Exception {
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

    private static void split(final Fleet fleet, final List<String> ones, final long spanMs) {
        final List<String> others = fleet.names(m -> !ones.contains(m.name));
        fleet.links().part(ones, others, true);
        Fleet.pause(spanMs);
        fleet.links().part(ones, others, false);
    }

    private static void wipe(final Fleet fleet, final List<String> names) throws Exception {
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

    private static long version(final Fleet fleet, final FleetMember core) {
        return fleet.call(core.operators, "policy.get", JSON.createObjectNode())
                .path("result")
                .path("version")
                .asLong();
    }

    /** Has a change accepted, repeating it by its change id, and gives its version. */
    private static long accepted(
            final Fleet fleet, final FleetMember core, final String method, final ObjectNode params) {
        final long[] found = {0};
        Fleet.until(method + " is accepted", 20_000, () -> {
            params.put("base", version(fleet, core));
            final JsonNode reply = fleet.call(core.operators, method, params);
            found[0] = reply.path("result").path("version").asLong();
            return reply.path("code").asInt() == 1000;
        });
        return found[0];
    }

    /** Two operators at once, on two cores, against one base: one is accepted and soon everywhere, the other nowhere. */
    private static void race(final Fleet fleet, final FleetJudge judge, final int turn) throws InterruptedException {
        final long base = version(fleet, fleet.members().get("d1-core"));
        final List<JsonNode> replies = new ArrayList<>();
        final List<Thread> racers = new ArrayList<>();
        for (final String at : List.of("d2-core", "d5-core")) {
            final ObjectNode params = JSON.createObjectNode().put("base", base).put("changeId", "race-" + turn + at);
            params.set("patch", Deployment.routePatch("race-" + turn + at, "/race/" + turn + at, service(fleet)));
            final Thread racer = new Thread(() -> {
                final JsonNode reply = fleet.call(fleet.members().get(at).operators, "policy.patch", params);
                synchronized (replies) {
                    replies.add(reply);
                }
            });
            racers.add(racer);
            racer.start();
        }
        for (final Thread racer : racers) {
            racer.join();
        }
        final long atMs = System.currentTimeMillis();
        final long won =
                replies.stream().filter(r -> r.path("code").asInt() == 1000).count();
        judge.judge().check(Rule.POLICY, won <= 1 ? 0 : 2, won + " of two were accepted on one base");
        for (final FleetMember m : fleet.members().values()) {
            if (won == 1) {
                Fleet.until(
                        "it is in force",
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

    private static String service(final Fleet fleet) {
        return fleet.standIns().get(0).place().service();
    }
}
