package spokestall.proxy;

import java.util.function.DoubleSupplier;

/**
 * Limits retries to a ratio of requests in any time interval. Each request adds a fraction of a retry to the balance, and the
 * balance never exceeds a small allowance.
 *
 * <p>Not thread-safe.
 */
final class RetryBudget {
    private final DoubleSupplier ratio;
    private final DoubleSupplier allowance;
    private double balance;

    /**
     * Creates a budget whose balance is the full allowance.
     *
     * @param ratio the retries that each request adds
     * @param allowance this edge's share of the fleet's allowance, which shrinks as the fleet grows
     */
    RetryBudget(final DoubleSupplier ratio, final DoubleSupplier allowance) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.balance = allowance.getAsDouble();
    }

    /** Notified once for each request that reaches an upstream. */
    void onRequest() {
        balance = Math.min(allowance.getAsDouble(), balance + ratio.getAsDouble());
    }

    /** Takes one retry from the balance, or returns false if less than one is left. */
    boolean tryAcquire() {
        balance = Math.min(allowance.getAsDouble(), balance);
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
