package spokestall.testbed.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.change.ChangeCoordinator;
import spokestall.configuration.change.ChangeDeadlines;
import spokestall.configuration.change.ChangeDraft;
import spokestall.testbed.fleet.OperatorFleet;

/**
 * One operator's change, which adds a route named after the change's id. It is requested again, at another node or at the node that
 * a reply redirects to, until it is acknowledged. Replies to calls that the caller has given up are ignored.
 */
final class RetriedChange {
    /** Makes the caller wait for a reply without a limit. */
    static final long NEVER = Long.MAX_VALUE;

    /** What {@link #waitedMs} returns while the change isn't acknowledged. */
    static final long NOT_ACKNOWLEDGED = Long.MAX_VALUE;

    private static final int NO_CALL = 0;

    /** How long the caller waits.
     *
     * @param patience how long a node pursues the change, and when it answers
     * @param silenceMs how long the caller waits for a reply before it tries another node, or {@link #NEVER}
     * @param pauseMs the wait before the next call, by the number of calls made
     */
    record Caller(ChangeDeadlines patience, long silenceMs, LongUnaryOperator pauseMs) {}

    private final OperatorFleet fleet;
    private final Random random;
    private final String id;
    private final Caller caller;
    private final Consumer<String> acknowledged;
    private final long begunMs;
    private long waitedMs = NOT_ACKNOWLEDGED;
    private int calls;
    private int callInProgress = NO_CALL;

    RetriedChange(final OperatorFleet fleet, final Random random, final String id, final Caller caller) {
        this(fleet, random, id, caller, acknowledgedId -> {});
    }

    RetriedChange(
            final OperatorFleet fleet,
            final Random random,
            final String id,
            final Caller caller,
            final Consumer<String> acknowledged) {
        this.fleet = fleet;
        this.random = random;
        this.id = id;
        this.caller = caller;
        this.acknowledged = acknowledged;
        this.begunMs = fleet.nowMs();
    }

    /** Requests the change at a random running node. */
    void request() {
        final List<SimulatedNode> running =
                fleet.nodes().stream().filter(SimulatedNode::isRunning).toList();
        request(fleet.world.pick(running, random));
    }

    void request(final SimulatedNode node) {
        final int call = ++calls;
        callInProgress = call;
        // The change applies to any base version, as an evacuation does.
        final ObjectNode patch = (ObjectNode) fleet.addRouteParams(0, id, id).get("patch");
        final ChangeDraft draft = tree -> new ChangeDraft.Drafted.Write(ConfigurationChange.Kind.PATCH, patch);
        fleet.submit(node, id, draft, caller.patience(), reply -> onReply(call, reply));
        if (caller.silenceMs() != NEVER) {
            fleet.world.sim.after(caller.silenceMs(), () -> retryElsewhere(call));
        }
    }

    private void onReply(final int call, final Reply reply) {
        if (call != callInProgress) {
            return;
        }
        if (reply.result() == ResultCode.OK) {
            callInProgress = NO_CALL;
            waitedMs = fleet.nowMs() - begunMs;
            acknowledged.accept(id);
            return;
        }
        final Optional<String> voter = ChangeCoordinator.redirectAddress(reply);
        if (voter.isPresent()) {
            request(fleet.world.byAddress.get(voter.get()));
        } else {
            retryElsewhere(call);
        }
    }

    private void retryElsewhere(final int call) {
        if (call == callInProgress) {
            callInProgress = NO_CALL;
            fleet.world.sim.after(caller.pauseMs().applyAsLong(calls), this::request);
        }
    }

    /** Returns how long after its beginning the change was acknowledged, in milliseconds. */
    long waitedMs() {
        return waitedMs;
    }

    /** Returns how many calls were made. */
    int calls() {
        return calls;
    }
}
