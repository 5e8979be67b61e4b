package spokestall.proxy;

import spokestall.api.ResultCode;

/** The outcome of claiming a run-once request. */
sealed interface ClaimResult {
    /** This node holds the claim and may send the request. */
    record Granted(IdempotencyClaim claim) implements ClaimResult {}

    /** The request has already run, under the given claim. */
    record AlreadyRan(IdempotencyClaim claim) implements ClaimResult {}

    /** The request may not be sent. */
    record Refused(ResultCode reason) implements ClaimResult {}
}
