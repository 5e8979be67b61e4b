package spokestall.testbed.simulation;

import java.util.Optional;
import java.util.OptionalLong;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.change.ChangeCoordinator;
import spokestall.configuration.change.ChangeDeadlines;
import spokestall.configuration.change.ZoneEvacuationDraft;
import spokestall.testbed.fleet.OperatorFleet;

/**
 * An operator's calls that begin or end the evacuation of a zone: without a change id, repeated under the precondition that a reply
 * asks for, or at the voter to which it redirects. A call that isn't answered in time is given up; replies that come later are ignored.
 */
final class EvacuationCaller {
    /** The deadlines of the platform's calls: a change is pursued for longer than its caller waits. */
    static final ChangeDeadlines DEADLINES = new ChangeDeadlines(600, 950, 4000);

    private static final int REDIRECTS_MAX = 2;
    private static final long STEP_MS = 5;

    private final OperatorFleet fleet;
    private final String zone;

    EvacuationCaller(final OperatorFleet fleet, final String zone) {
        this.fleet = fleet;
        this.zone = zone;
    }

    /** An order at one node, in progress until it is acknowledged, refused or given up. */
    final class Order {
        private final boolean begin;
        private int redirects;
        private boolean acknowledged;
        private boolean ended;
        private long sentMs;

        private Order(final boolean begin) {
            this.begin = begin;
        }

        boolean isAcknowledged() {
            return acknowledged;
        }

        /** Stops waiting; a request that is under way stays there. */
        void giveUp() {
            ended = true;
        }

        private void send(final SimulatedNode node, final OptionalLong unchangedSince) {
            sentMs = fleet.nowMs();
            final String id = (begin ? "evacuate-" : "return-") + zone + "-" + unchangedSince;
            node.run(
                    node.incarnation(),
                    () -> node.node()
                            .changeCoordinator()
                            .submitWithoutId(
                                    id,
                                    unchangedSince,
                                    new ZoneEvacuationDraft(zone, begin),
                                    DEADLINES,
                                    reply -> onReply(node, unchangedSince, reply)));
        }

        private void onReply(final SimulatedNode node, final OptionalLong unchangedSince, final Reply reply) {
            if (ended) {
                return;
            }
            final Optional<String> voter = ChangeCoordinator.redirectAddress(reply);
            final OptionalLong required = ChangeCoordinator.requiredPrecondition(reply);
            if ((voter.isPresent() || required.isPresent()) && redirects++ < REDIRECTS_MAX) {
                send(
                        voter.map(fleet.world.byAddress::get).orElse(node),
                        required.isPresent() ? required : unchangedSince);
            } else {
                ended = true;
                acknowledged = reply.result() == ResultCode.OK;
            }
        }
    }

    /** Sends an order to a node and doesn't wait. */
    Order send(final SimulatedNode node, final boolean begin) {
        final Order order = new Order(begin);
        order.send(node, OptionalLong.empty());
        return order;
    }

    /** Sends an order to a node and waits until it ends or {@code silenceMs} pass without a reply; returns whether it was acknowledged. */
    boolean call(final SimulatedNode node, final boolean begin, final long silenceMs) {
        final Order order = send(node, begin);
        while (!order.ended && fleet.nowMs() < order.sentMs + silenceMs) {
            fleet.run(STEP_MS);
        }
        order.giveUp();
        return order.acknowledged;
    }
}
