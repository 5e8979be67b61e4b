package spokestall.proxy;

import spokestall.api.ResultCode;

/** The outcome of claiming a run-once request. */
sealed interface ClaimResult {
    /** The claim is this request's own; it may be sent. */
    record Granted(IdempotencyClaim claim) implements ClaimResult {}

    /** The request has run before, under the given claim. */
    record AlreadyRan(IdempotencyClaim claim) implements ClaimResult {}

    /** The request may not be sent. */
    record Refused(ResultCode reason) implements ClaimResult {}
}
