package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Ejects upstreams whose attempts fail: such an upstream is picked only if there is no other. An answer ends the ejection.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Times are on one monotonic clock.
 */
final class OutlierEjector {
    private record Ejection(long untilMs, int times) {}

    /** One lost answer may be chance; two in a row are not. */
    private static final int LOSSES_TO_EJECT = 2;
    /** The time doubles no more after so many ejections in a row. */
    private static final int MAX_TIMES = 8;
    /** An upstream that rejects is alive: it is ejected for this part, as a divisor, of the base time. */
    private static final int REJECTED_DIVISOR = 4;

    private LoadBalancerParameters.EjectionTimes ejectionTimes;
    private final Map<String, Ejection> ejections = new HashMap<>();
    /** Lost or late answers in a row, by instance. */
    private final Map<String, Integer> losses = new HashMap<>();

    OutlierEjector(final LoadBalancerParameters.EjectionTimes ejectionTimes) {
        this.ejectionTimes = ejectionTimes;
    }

    /** Applies other times to ejections from now on. */
    void updateTimes(final LoadBalancerParameters.EjectionTimes newTimes) {
        ejectionTimes = newTimes;
    }

    boolean ejected(final String instance, final long nowMs) {
        final Ejection ejection = ejections.get(instance);
        return ejection != null && nowMs < ejection.untilMs;
    }

    /** Ends the instance's ejection. */
    void onAnswer(final String instance) {
        ejections.remove(instance);
        losses.remove(instance);
    }

    /** Ejects the instance; after a lost answer only if it is not the first in a row. */
    void onFailure(final String instance, final AttemptOutcome outcome, final long nowMs) {
        if (outcome == AttemptOutcome.LOST && losses.merge(instance, 1, Integer::sum) < LOSSES_TO_EJECT) {
            return;
        }
        eject(instance, outcome, nowMs);
    }

    /** An answer that is late counts like one that is lost. */
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

    /** Removes what is known of all instances but these. */
    void retain(final Set<String> instances) {
        ejections.keySet().retainAll(instances);
        losses.keySet().retainAll(instances);
    }
}
