package spokestall.edge;

/**
 * Keeps retries below a share of asks in every span of time, not only fixed ones: each ask earns a share of a retry,
 * and what is earned but unspent never exceeds a small allowance.
 */
final class RetryBudget {
    private final double share;
    private final double allowance;
    private double earned;

    /** The allowance is this edge's part of the fleet's. */
    RetryBudget(final double share, final double allowance) {
        this.share = share;
        this.allowance = allowance;
        this.earned = allowance;
    }

    void asked() {
        earned = Math.min(allowance, earned + share);
    }

    boolean spend() {
        if (earned < 1) {
            return false;
        }
        earned -= 1;
        return true;
    }
}
