package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Ejects upstreams whose attempts fail. The load balancer picks an ejected upstream only if there is no other. A response ends
 * the ejection.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Times are on one monotonic clock.
 */
final class OutlierEjector {
    private record Ejection(long untilMs, int times) {}

    /** Number of consecutive lost responses that ejects an upstream. A single lost response may be chance. */
    private static final int LOSSES_TO_EJECT = 2;
    /** Number of consecutive ejections after which the duration stops doubling. */
    private static final int MAX_TIMES = 8;
    /** Divisor of the base duration for an ejection after a rejection, which is short because the upstream is alive. */
    private static final int REJECTED_DIVISOR = 4;

    private LoadBalancerParameters.EjectionTimes ejectionTimes;
    private final Map<String, Ejection> ejections = new HashMap<>();
    /** Number of consecutive lost or late responses by instance. */
    private final Map<String, Integer> losses = new HashMap<>();

    OutlierEjector(final LoadBalancerParameters.EjectionTimes ejectionTimes) {
        this.ejectionTimes = ejectionTimes;
    }

    /** Replaces the durations for later ejections. */
    void updateTimes(final LoadBalancerParameters.EjectionTimes newTimes) {
        ejectionTimes = newTimes;
    }

    boolean ejected(final String instance, final long nowMs) {
        final Ejection ejection = ejections.get(instance);
        return ejection != null && nowMs < ejection.untilMs;
    }

    /** Ends the instance's ejection and resets its failure counts. */
    void onAnswer(final String instance) {
        ejections.remove(instance);
        losses.remove(instance);
    }

    /** Ejects the instance; a lost response ejects it only if the previous one was lost too. */
    void onFailure(final String instance, final AttemptOutcome outcome, final long nowMs) {
        if (outcome == AttemptOutcome.LOST && losses.merge(instance, 1, Integer::sum) < LOSSES_TO_EJECT) {
            return;
        }
        eject(instance, outcome, nowMs);
    }

    /** Records a late response, which counts as a lost one. */
    void onLate(final String instance, final long nowMs) {
        onFailure(instance, AttemptOutcome.LOST, nowMs);
    }

    private void eject(final String instance, final AttemptOutcome outcome, final long nowMs) {
        final Ejection last = ejections.get(instance);
        final int times = last == null ? 1 : Math.min(last.times + 1, MAX_TIMES);
        final long durationMs = outcome == AttemptOutcome.REJECTED
                ? ejectionTimes.baseMs() / REJECTED_DIVISOR
                : Math.min(ejectionTimes.maxMs(), ejectionTimes.baseMs() << (times - 1));
        ejections.put(instance, new Ejection(nowMs + durationMs, times));
    }

    /** Removes the state of all other instances. */
    void retain(final Set<String> instances) {
        ejections.keySet().retainAll(instances);
        losses.keySet().retainAll(instances);
    }
}
