package spokestall.proxy;

/**
 * Bounds of an edge's data path, from the settings.
 *
 * @param openRequestsMax requests in flight at most
 * @param heldMaxBytes bytes of request and response bodies held at most
 * @param claimKeepMs for how long a claim is kept, so how old a ticket may be at most
 * @param claimWaitMs how long a change of a claim may take
 * @param handWaitMs how long cores are waited for that may have a stored response
 * @param retryAfterMs the shortest time after which a rejected client may come back; a random part of as much is added
 * @param attemptsMax attempts of one request at most
 * @param retryShare retries earned by each request that reached an upstream
 * @param retryAllowance retries that all edges together may have beyond what was earned
 * @param spanMaxMs the longest time that a request may take
 * @param ticketAheadMs how far a ticket's time may lie ahead of this node's clock
 * @param conventions how the deployment's clients send requests
 */
public record ProxyLimits(
        int openRequestsMax,
        long heldMaxBytes,
        long claimKeepMs,
        long claimTimeoutMs,
        long storedResponseTimeoutMs,
        long retryAfterMs,
        int attemptsMax,
        double retryRatio,
        double retryAllowance,
        long requestTimeoutMaxMs,
        long ticketMaxAheadMs,
        RequestConventions conventions) {}
