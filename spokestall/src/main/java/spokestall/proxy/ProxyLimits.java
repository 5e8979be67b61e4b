package spokestall.proxy;

/**
 * Limits of an edge's data path, from the settings.
 *
 * @param requestsInFlightMax the maximum number of requests in flight
 * @param heldMaxBytes the maximum number of bytes held for request and response bodies
 * @param claimRetentionMs how long a claim is kept, and so the maximum age of a ticket
 * @param claimTimeoutMs the time-out of a claim's proposals
 * @param storedResponseTimeoutMs the time-out of requests to cores for a stored response
 * @param retryAfterMs the minimum retry time for a rejected client; a random jitter of up to the same time is added
 * @param attemptsMax the maximum number of attempts for one request
 * @param retryRatio the retries that each request that reaches an upstream adds to the retry budget
 * @param retryAllowance the maximum balance of the retry budgets of all edges together
 * @param requestTimeoutMaxMs the maximum time-out of a request
 * @param ticketMaxAheadMs the maximum time by which a ticket's time may be ahead of this node's reading of the fleet's clock
 * @param conventions request handling options of the deployment
 */
public record ProxyLimits(
        int requestsInFlightMax,
        long heldMaxBytes,
        long claimRetentionMs,
        long claimTimeoutMs,
        long storedResponseTimeoutMs,
        long retryAfterMs,
        int attemptsMax,
        double retryRatio,
        double retryAllowance,
        long requestTimeoutMaxMs,
        long ticketMaxAheadMs,
        RequestConventions conventions) {}
