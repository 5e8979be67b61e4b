package spokestall.testbed.simulation;

import java.util.Map;
import java.util.TreeMap;
import spokestall.message.Message;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;

/** What messages cost: how many bytes of each kind went between regions, between zones of one, and within one. */
public final class MessageTraffic {
    /** One kind's sums. */
    public static final class Sum {
        public long messages;
        long regions;
        long zones;
        long within;

        public long bytes() {
            return regions + zones + within;
        }
    }

    private static final long REST_MS = 30_000;
    private final Map<String, Sum> sums = new TreeMap<>();
    private final Map<String, Long> sentTo = new TreeMap<>();

    /** Counts one note on its way. */
    void sent(final SimulatedNode from, final SimulatedNode to, final Message message, final int bytes) {
        final Sum sum = sums.computeIfAbsent(message.getClass().getSimpleName(), k -> new Sum());
        sum.messages++;
        sentTo.merge(to.name, (long) bytes, Long::sum);
        if (!from.region.equals(to.region)) {
            sum.regions += bytes;
        } else if (!from.zone.equals(to.zone)) {
            sum.zones += bytes;
        } else {
            sum.within += bytes;
        }
    }

    /** Bytes that were sent to a node, lost or not. */
    public long sentTo(final String node) {
        return sentTo.getOrDefault(node, 0L);
    }

    Map<String, Sum> sums() {
        return sums;
    }

    void clear() {
        sums.clear();
    }

    /** Bytes a second between regions of one node, of the kinds given, or of all. */
    public static double regionsPerNode(final Map<String, Sum> sums, final String... kinds) {
        return sums.entrySet().stream()
                        .filter(e ->
                                kinds.length == 0 || java.util.List.of(kinds).contains(e.getKey()))
                        .mapToLong(e -> e.getValue().regions)
                        .sum()
                / (REST_MS / 1000.0)
                / (2 * Deployment.ZONES);
    }

    /** Half a minute of a fleet that has come up: with asks at the deployment's rate, or at rest. */
    public static Map<String, Sum> of(
            final long seed, final Deployment deployment, final boolean requests, final Map<String, String> settings) {
        final SimulatedWorld world =
                new SimulatedWorld(seed, deployment, false, InjectedFault.NONE, Scenario.CALM, settings);
        final SimulatedOperator operator = new SimulatedOperator(world);
        for (final SimulatedNode node : world.nodes.values()) {
            world.sim.after(world.sim.random(node.name).nextInt(1500), node::start);
        }
        world.sim.after(
                2000,
                () -> operator.first(() -> {
                    if (requests) {
                        world.sim.after(2500, world.clients::start);
                    }
                }));
        world.sim.run(30_000);
        world.traffic.clear();
        world.sim.run(30_000 + REST_MS);
        return world.traffic.sums();
    }

    /** Prints both, a line a kind, in a second and node. */
    public static void run(final long seed, final Deployment deployment, final Map<String, String> settings) {
        for (final boolean requests : new boolean[] {false, true}) {
            final Map<String, Sum> sums = of(seed, deployment, requests, settings);
            final Sum all = new Sum();
            System.out.printf(
                    "| %s | notes | bytes each | regions | districts | within |%n| --- | --- | --- | --- | --- | --- |%n",
                    requests ? "with asks" : "at rest");
            sums.forEach((kind, sum) -> {
                line(kind, sum);
                all.messages += sum.messages;
                all.regions += sum.regions;
                all.zones += sum.zones;
                all.within += sum.within;
            });
            line("all", all);
        }
    }

    private static void line(final String kind, final Sum sum) {
        final double per = REST_MS / 1000.0 * 2 * Deployment.ZONES;
        System.out.printf(
                "| %s | %.2f | %.0f | %.0f | %.0f | %.0f |%n",
                kind,
                sum.messages / per,
                sum.bytes() / (double) sum.messages,
                sum.regions / per,
                sum.zones / per,
                sum.within / per);
    }
}
