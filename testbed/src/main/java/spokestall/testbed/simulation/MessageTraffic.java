package spokestall.testbed.simulation;

import java.util.Map;
import java.util.TreeMap;
import spokestall.message.Message;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;

/** Network traffic of each message type: bytes sent between regions, between zones of a region, and within a zone. */
public final class MessageTraffic {
    /** Totals of one message type. */
    public static final class Sum {
        public long messages;
        long betweenRegions;
        long betweenZones;
        long withinZone;

        public long bytes() {
            return betweenRegions + betweenZones + withinZone;
        }
    }

    private static final long MEASURED_MS = 30_000;
    private final Map<String, Sum> sums = new TreeMap<>();
    private final Map<String, Long> sentTo = new TreeMap<>();

    /** Counts one sent message, whether or not it arrives. */
    void onSent(final SimulatedNode from, final SimulatedNode to, final Message message, final int bytes) {
        final Sum sum = sums.computeIfAbsent(message.getClass().getSimpleName(), k -> new Sum());
        sum.messages++;
        sentTo.merge(to.name, (long) bytes, Long::sum);
        if (!from.region.equals(to.region)) {
            sum.betweenRegions += bytes;
        } else if (!from.zone.equals(to.zone)) {
            sum.betweenZones += bytes;
        } else {
            sum.withinZone += bytes;
        }
    }

    /** Returns the number of bytes that were sent to a node, including those of lost messages. */
    public long sentTo(final String node) {
        return sentTo.getOrDefault(node, 0L);
    }

    Map<String, Sum> sums() {
        return sums;
    }

    void clear() {
        sums.clear();
    }

    /** Returns bytes per second and node between regions, of the given message types, or of all if none is given. */
    public static double betweenRegionsPerNode(final Map<String, Sum> sums, final String... kinds) {
        return sums.entrySet().stream()
                        .filter(e ->
                                kinds.length == 0 || java.util.List.of(kinds).contains(e.getKey()))
                        .mapToLong(e -> e.getValue().betweenRegions)
                        .sum()
                / (MEASURED_MS / 1000.0)
                / (2 * Deployment.ZONES);
    }

    /** Measures half a minute of a running fleet, with client requests at the deployment's rate or without any. */
    public static Map<String, Sum> measure(
            final long seed, final Deployment deployment, final boolean requests, final Map<String, String> settings) {
        final SimulatedWorld world =
                new SimulatedWorld(seed, deployment, false, InjectedFault.NONE, Scenario.CALM, settings);
        final SimulatedOperator operator = new SimulatedOperator(world);
        for (final SimulatedNode node : world.nodes.values()) {
            world.sim.after(world.sim.random(node.name).nextInt(1500), node::start);
        }
        world.sim.after(
                2000,
                () -> operator.putInitialConfiguration(() -> {
                    if (requests) {
                        world.sim.after(2500, world.clients::start);
                    }
                }));
        world.sim.run(30_000);
        world.traffic.clear();
        world.sim.run(30_000 + MEASURED_MS);
        return world.traffic.sums();
    }

    /** Prints one table for an idle fleet and one for a fleet with requests: a row per message type, per second and node. */
    public static void print(final long seed, final Deployment deployment, final Map<String, String> settings) {
        for (final boolean requests : new boolean[] {false, true}) {
            final Map<String, Sum> sums = measure(seed, deployment, requests, settings);
            final Sum all = new Sum();
            System.out.printf(
                    "| %s | messages | bytes each | regions | districts | within |%n| --- | --- | --- | --- | --- | --- |%n",
                    requests ? "with requests" : "idle");
            sums.forEach((kind, sum) -> {
                line(kind, sum);
                all.messages += sum.messages;
                all.betweenRegions += sum.betweenRegions;
                all.betweenZones += sum.betweenZones;
                all.withinZone += sum.withinZone;
            });
            line("all", all);
        }
    }

    private static void line(final String kind, final Sum sum) {
        final double per = MEASURED_MS / 1000.0 * 2 * Deployment.ZONES;
        System.out.printf(
                "| %s | %.2f | %.0f | %.0f | %.0f | %.0f |%n",
                kind,
                sum.messages / per,
                sum.bytes() / (double) sum.messages,
                sum.betweenRegions / per,
                sum.betweenZones / per,
                sum.withinZone / per);
    }
}
