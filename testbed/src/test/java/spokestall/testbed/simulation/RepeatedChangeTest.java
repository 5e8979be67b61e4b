package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.change.ChangeDraft;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.fleet.OperatorFleet;

/** Of the changes that race on one base version exactly one is confirmed, and every node confirms it again if it is resent. */
class RepeatedChangeTest {
    private static final int RACERS = 8;
    private static final int ROUNDS = 5;
    private static final int SEEDS = 8;
    private static final int LATER_CHANGES = 600;
    private static final long SILENCE_MS = 1000;
    private static final double ANSWERS_LOST = 0.4;

    /** One operator's change, which is resent unchanged to random nodes until its outcome is clear. */
    private static final class Order {
        private final OperatorFleet fleet;
        private final Random random;
        private final String id;
        private final long base;
        private ResultCode outcome;
        private long version;
        private int calls;

        Order(final OperatorFleet fleet, final Random random, final String id, final long base) {
            this.fleet = fleet;
            this.random = random;
            this.id = id;
            this.base = base;
        }

        private ChangeDraft draft() {
            final ObjectNode patch =
                    (ObjectNode) fleet.addRouteParams(base, id, id).get("patch");
            return tree -> new ChangeDraft.Drafted.Write(ConfigurationChange.Kind.PATCH, patch);
        }

        void send(final SimulatedNode to) {
            final int call = ++calls;
            fleet.world.sim.after(SILENCE_MS, () -> {
                if (outcome == null && calls == call) {
                    send(fleet.world.pick(fleet.nodes(), random));
                }
            });
            fleet.submitForBaseVersion(to, base, id, draft(), reply -> {
                if (random.nextDouble() >= ANSWERS_LOST) {
                    onReply(reply);
                }
            });
        }

        private void onReply(final Reply reply) {
            if (outcome == null && (reply.result() == ResultCode.OK || reply.result() == ResultCode.STALE_BASE)) {
                outcome = reply.result();
                version = reply.fields().path("version").asLong();
            }
        }
    }

    @Test
    void oneOfEightRacingOrdersIsConfirmedDespiteFailuresAndEveryNodeConfirmsItAgain() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final Random random = new Random(seed);
            final OperatorFleet fleet = new OperatorFleet(seed, Deployment.values()[seed % 2]).start();
            final Map<String, Order> confirmed = new LinkedHashMap<>();
            final List<Order> beaten = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                final List<Order> racers = race(fleet, random, "s" + seed + "r" + round);
                final List<Order> won =
                        racers.stream().filter(o -> o.outcome == ResultCode.OK).toList();
                assertThat(won).as("seed %s, round %s", seed, round).hasSize(1);
                confirmed.put(won.get(0).id, won.get(0));
                racers.stream().filter(o -> o.outcome != ResultCode.OK).forEach(beaten::add);
            }
            sendAgain(fleet, confirmed.values(), ResultCode.OK);
            fleet.nodes().forEach(SimulatedNode::losePower);
            fleet.run(200);
            fleet.nodes().forEach(SimulatedNode::start);
            fleet.awaitFresh();
            sendAgain(fleet, confirmed.values(), ResultCode.OK);
            sendAgain(fleet, beaten.subList(0, 2), ResultCode.STALE_BASE);
        }
    }

    /** Sends eight changes on one base to eight nodes, while one of these loses power and one can't send to any other node. */
    private static List<Order> race(final OperatorFleet fleet, final Random random, final String name) {
        fleet.awaitFresh();
        final long base = fleet.newestVersion();
        final List<SimulatedNode> nodes = new ArrayList<>(fleet.nodes());
        java.util.Collections.shuffle(nodes, random);
        final List<Order> racers = new ArrayList<>();
        for (int i = 0; i < RACERS; i++) {
            final Order order = new Order(fleet, random, name + "o" + i, base);
            racers.add(order);
            order.send(nodes.get(i));
        }
        final SimulatedNode dying = nodes.get(random.nextInt(RACERS));
        fleet.world.sim.after(random.nextInt(300), dying::losePower);
        fleet.world.sim.after(1500, dying::start);
        final SimulatedNode cut = nodes.get(random.nextInt(RACERS));
        fleet.world.sim.after(
                random.nextInt(300),
                () -> fleet.othersThan(cut).forEach(o -> fleet.world.net.cut(cut.address, o.address, true)));
        fleet.world.sim.after(2500, fleet.world.net::heal);
        fleet.runUntil(
                name + " all changes have a clear outcome",
                20_000,
                () -> racers.stream().allMatch(o -> o.outcome != null));
        return racers;
    }

    private static void sendAgain(final OperatorFleet fleet, final Iterable<Order> orders, final ResultCode right) {
        for (final Order order : orders) {
            for (final SimulatedNode node : fleet.nodes()) {
                final OperatorFleet.Call call =
                        fleet.submitForBaseVersionAndWait(node, order.base, order.id, order.draft());
                assertThat(call.result())
                        .as(order.id + " again at " + node.name)
                        .isEqualTo(right);
                if (right == ResultCode.OK) {
                    assertThat(call.reply.fields().path("version").asLong()).isEqualTo(order.version);
                }
            }
        }
    }

    @Test
    void aConfirmedOrderIsConfirmedAgainAfterHundredsOfOthersAndALostMajority() {
        final OperatorFleet fleet = new OperatorFleet(1, Deployment.PADMA).start();
        final Order first = confirmOneThenHundreds(fleet);
        sendAgain(fleet, List.of(first), ResultCode.OK);
        restartWithWipedDisks(fleet.world.cores().subList(2, 3));
        fleet.awaitFresh();
        sendAgain(fleet, List.of(first), ResultCode.OK);
        restartWithWipedDisks(fleet.world.cores().subList(0, 4));
        fleet.run(2000);
        fleet.awaitFresh();
        sendAgain(fleet, List.of(first), ResultCode.OK);
    }

    /** Beyond the stated bound of ten minutes and 512 changes a resent change is stale; by then no operator resends it. */
    @Test
    void anOrderBeyondTheRepeatBoundIsAnsweredAsStale() {
        final OperatorFleet fleet = new OperatorFleet(1, Deployment.PADMA, InjectedFault.LEAPING_CHANGES).start();
        final Order first = confirmOneThenHundreds(fleet);
        final SimulatedNode edge = fleet.world.edges().get(0);
        assertThat(fleet.submitForBaseVersionAndWait(edge, first.base, first.id, first.draft())
                        .result())
                .isEqualTo(ResultCode.STALE_BASE);
    }

    private static Order confirmOneThenHundreds(final OperatorFleet fleet) {
        final Order first = new Order(fleet, new Random(1), "first-of-many", fleet.newestVersion());
        first.send(fleet.nodes().get(0));
        fleet.runUntil("the first change is confirmed", 5000, () -> first.outcome == ResultCode.OK);
        for (int i = 0; i < LATER_CHANGES; i++) {
            final SimulatedNode at = fleet.world.cores().get(i % 3);
            final OperatorFleet.Call call = fleet.callAndWait(
                    at, "policy.patch", fleet.addRouteParams(fleet.newestVersion(), "later-" + i, "l" + i % 20));
            assertThat(call.result()).isEqualTo(ResultCode.OK);
        }
        return first;
    }

    private static void restartWithWipedDisks(final List<SimulatedNode> cores) {
        cores.forEach(c -> {
            c.losePower();
            c.disk.wipe();
            c.start();
        });
    }
}
