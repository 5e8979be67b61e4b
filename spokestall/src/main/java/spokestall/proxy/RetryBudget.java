package spokestall.proxy;

import java.util.function.DoubleSupplier;

/**
 * Keeps retries below a ratio of requests in every span of time: each request earns a fraction of a retry, and what is earned
 * but not spent never exceeds a small allowance. Not thread-safe.
 */
final class RetryBudget {
    private final DoubleSupplier ratio;
    private final DoubleSupplier allowance;
    private double balance;

    /** The allowance is this edge's part of the fleet's; it shrinks as the fleet grows. */
    RetryBudget(final DoubleSupplier share, final DoubleSupplier allowance) {
        this.ratio = share;
        this.allowance = allowance;
        this.balance = allowance.getAsDouble();
    }

    void onRequest() {
        balance = Math.min(allowance.getAsDouble(), balance + ratio.getAsDouble());
    }

    boolean tryAcquire() {
        balance = Math.min(allowance.getAsDouble(), balance);
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
