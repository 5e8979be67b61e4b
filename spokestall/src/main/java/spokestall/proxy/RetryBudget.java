package spokestall.proxy;

import java.util.function.DoubleSupplier;

/**
 * Keeps retries below a ratio of requests in every span of time: each request earns a fraction of a retry, and what is earned
 * but not spent never exceeds a small allowance. Not thread-safe.
 */
final class RetryBudget {
    private final DoubleSupplier share;
    private final DoubleSupplier allowance;
    private double earned;

    /** The allowance is this edge's part of the fleet's; it shrinks as the fleet grows. */
    RetryBudget(final DoubleSupplier share, final DoubleSupplier allowance) {
        this.share = share;
        this.allowance = allowance;
        this.earned = allowance.getAsDouble();
    }

    void asked() {
        earned = Math.min(allowance.getAsDouble(), earned + share.getAsDouble());
    }

    boolean spend() {
        earned = Math.min(allowance.getAsDouble(), earned);
        if (earned < 1) {
            return false;
        }
        earned -= 1;
        return true;
    }
}
