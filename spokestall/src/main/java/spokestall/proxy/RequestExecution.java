package spokestall.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import spokestall.api.ResultCode;
import spokestall.configuration.KeyHash;
import spokestall.configuration.Route;
import spokestall.configuration.ServiceLimits;
import spokestall.discovery.Upstream;
import spokestall.handoff.HandoffMessage;
import spokestall.message.MessageCodec;

/**
 * The execution of one admitted request up to its final response: receives its body, claims it if it must run once, sends
 * attempts to upstreams, retries and hedges where that is allowed, and responds exactly once.
 *
 * <p>The states follow each other in the order {@code READING_BODY}, {@code CLAIMING} (run-once requests with claims only),
 * {@code ATTEMPTING}, {@code ENDED}. Each state may go directly to {@code ENDED}. A majority of acceptors stores the claim before
 * the first byte of a run-once request leaves this node. A response says "not run" only if that is proven.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class RequestExecution implements AdmittedRequest {
    private enum State {
        READING_BODY,
        CLAIMING,
        ATTEMPTING,
        ENDED
    }

    /** Fraction of the latency target after which an idempotent request is hedged at a second upstream. */
    private static final double HEDGE_DELAY_RATIO = 0.6;

    /** The reason that an {@link UpstreamClient} returns if {@link AttemptPermission} denied an attempt right before sending. */
    private static final String SEND_DENIED = "barred";

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final AdmissionController admission;
    private final ProxyContext context;
    private final AdmissionGrant grant;
    private final Consumer<Response> responded;
    private final AttemptPermission permission;
    private final RequestReservation reservation;
    private final AttemptBudget attempts;
    /** Null if this request needs no claim. */
    private final ClaimManager claimManager;

    private final Set<String> attemptedInstances = new HashSet<>();
    private final Set<AttemptHandle> openAttempts = new HashSet<>();
    private State state = State.READING_BODY;
    private byte[] body;
    private IdempotencyClaim claim;
    private boolean mayHaveRun;
    /** A failed upstream response, which the client gets if no retry succeeds. */
    private Response failedResponse;

    private boolean clientDisconnected;
    private boolean attemptsCancelled;
    private boolean responseWritten;

    /**
     * Creates the execution of an admitted request and starts its deadline timer.
     *
     * @param heldBytes the bytes that admission has taken from the limiter
     * @param responded receives the final response, once
     */
    RequestExecution(
            final AdmissionController admission,
            final ProxyContext context,
            final AdmissionGrant grant,
            final long heldBytes,
            final Consumer<Response> responded) {
        this.admission = admission;
        this.context = context;
        this.grant = grant;
        this.responded = responded;
        this.permission = new AttemptPermission(admission, context, grant);
        this.reservation = new RequestReservation(
                admission.limiter(), context.loadBalancer(), grant.service(), grant.tenantName(), heldBytes);
        this.attempts = new AttemptBudget(admission.limits().conventions().unsentFree());
        this.claimManager = needsClaim() ? claimManager() : null;
        context.clock().after(Math.max(0, remainingMs()), () -> completeWith(ResultCode.DEADLINE));
    }

    private boolean needsClaim() {
        return grant.route().runOnce() && admission.limits().conventions().claims();
    }

    private ClaimManager claimManager() {
        return new ClaimManager(
                context,
                admission.limits(),
                IdempotencyClaim.key(grant.tenant().name(), grant.head().requestId()));
    }

    private long remainingMs() {
        return grant.deadlineMs() - context.clock().nowMs();
    }

    private void transitionTo(final State next) {
        assert next.ordinal() > state.ordinal() : state + " to " + next;
        state = next;
    }

    @Override
    public ServiceLimits serviceLimits() {
        return permission.service();
    }

    @Override
    public void onBody(final byte[] complete) {
        if (state != State.READING_BODY) {
            return;
        }
        body = complete;
        reservation.holdBytes(complete.length + (long) grant.service().responseMaxBytes());
        final ResultCode refusal = refusal();
        if (refusal != null) {
            completeWith(refusal);
        } else if (!reserveCapacity()) {
            completeWith(ResultCode.NO_UPSTREAM);
        } else if (claimManager == null) {
            transitionTo(State.ATTEMPTING);
            startAttempt();
        } else {
            transitionTo(State.CLAIMING);
            claimManager.claim(
                    RequestTicket.of(grant.head().requestId()),
                    body,
                    remainingMs(),
                    () -> refusal() == null,
                    this::onClaimResult);
        }
    }

    @Override
    public void onBodyFailed(final ResultCode reason) {
        if (state == State.READING_BODY) {
            completeWith(reason);
        }
    }

    @Override
    public void onClientDisconnected() {
        clientDisconnected = true;
        onBodyFailed(ResultCode.MALFORMED);
        cancelAttempts();
        onResponseWritten();
    }

    /** Cancels the attempts because the client has disconnected; a run-once request continues until its outcome is known. */
    private void cancelAttempts() {
        if (state != State.ATTEMPTING || grant.route().runOnce()) {
            return;
        }
        attemptsCancelled = true;
        completeWith(ResultCode.DEADLINE);
        List.copyOf(openAttempts).forEach(AttemptHandle::cancel);
    }

    @Override
    public void onResponseWritten() {
        responseWritten = true;
        if (state == State.ENDED) {
            reservation.holdBytes(0);
        }
    }

    /**
     * Reserves the upstream capacity that admission found, for a request without a body. A request with a body reserves its
     * capacity when the body has arrived, so that clients that send slowly don't block capacity.
     */
    void reserve() {
        reservation.reserve();
    }

    private boolean reserveCapacity() {
        if (!reservation.hasCapacity()
                && context.loadBalancer().hasCapacity(grant.service(), grant.tenantName(), permission::allows)) {
            reservation.reserve();
        }
        return reservation.hasCapacity();
    }

    /** Ends the request because this node shuts down, with the execution status known so far. */
    void abort() {
        if (state != State.ENDED) {
            completeUnsent(ResultCode.HELD);
        }
    }

    private void complete(final Response response) {
        if (state == State.ENDED) {
            return;
        }
        transitionTo(State.ENDED);
        reservation.end();
        reservation.holdBytes(
                responseWritten || response.content() == null
                        ? 0
                        : response.content().body().length);
        admission.onRequestEnded(this, grant.tenantName(), response.result());
        body = null;
        responded.accept(response);
    }

    /**
     * Ends the request with a response that this node generates. The status is "not run" only if no attempt has run the request or
     * can still run it.
     */
    private void completeWith(final ResultCode result) {
        final boolean undecided = claimManager != null || grant.hasTicket() || mayHaveRun || attempts.inFlight() > 0;
        complete(admission.reject(
                result, undecided ? ExecutionStatus.UNDECIDED : ExecutionStatus.NOT_RUN, attempts.started()));
    }

    /** Ends the request without another attempt. Responds after an unused claim has been released in its register. */
    private void completeUnsent(final ResultCode reason) {
        if (claim != null && !mayHaveRun) {
            claimManager.releaseUnused(
                    claim,
                    proven -> complete(admission.reject(
                            reason, proven ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNDECIDED, attempts.started())));
        } else {
            completeWith(reason);
        }
    }

    /** Returns why no attempt may be sent now, or null if one may. */
    private ResultCode refusal() {
        return state == State.ENDED || clientDisconnected ? ResultCode.DEADLINE : permission.refusal();
    }

    private void onClaimResult(final ClaimResult result) {
        if (result instanceof ClaimResult.Granted granted) {
            onClaimGranted(granted.claim());
        } else if (result instanceof ClaimResult.AlreadyRan earlier) {
            admission.fetchStoredResponse(
                    grant.tenant(),
                    claimManager.key(),
                    earlier.claim().responseDigest(),
                    content -> complete(new Response(
                            content != null ? ResultCode.REPEATED : ResultCode.RAN_ANSWER_GONE,
                            ExecutionStatus.RAN,
                            content,
                            earlier.claim().instance(),
                            0,
                            0)));
        } else if (result instanceof ClaimResult.Refused refused) {
            final ResultCode refusal = refused.reason() == ResultCode.UNCLEAR ? refusal() : null;
            completeWith(refusal != null ? refusal : refused.reason());
        }
    }

    private void onClaimGranted(final IdempotencyClaim granted) {
        claim = granted;
        if (state == State.ENDED) {
            claimManager.releaseUnused(claim, proven -> {});
            return;
        }
        transitionTo(State.ATTEMPTING);
        startAttempt();
    }

    private void startAttempt() {
        final ResultCode refusal = refusal();
        final Upstream upstream = refusal != null
                ? null
                : context.loadBalancer()
                        .pick(permission.service(), permission::allows, attemptedInstances)
                        .orElse(null);
        if (upstream == null) {
            onNoUpstream(refusal);
            return;
        }
        if (attempts.onStarted()) {
            // The retry ratio refers to requests that reach an upstream, not to all admitted requests.
            admission.retryBudget(permission.service()).onRequest();
        }
        attemptedInstances.add(upstream.instance());
        final Attempt attempt = newAttempt(upstream);
        final long startedMs = context.clock().nowMs();
        context.loadBalancer().onAttemptStarted(upstream.instance());
        reservation.release();
        scheduleHedge(upstream);
        final LongSupplier sendableUntilMs = () -> refusal() != null
                ? Long.MIN_VALUE
                : Math.min(grant.deadlineMs(), context.feedClient().lease().expiresMs());
        final AttemptHandle[] handle = new AttemptHandle[1];
        handle[0] = context.upstreamClient().attempt(attempt, sendableUntilMs, this::onAttemptSent, result -> {
            openAttempts.remove(handle[0]);
            onAttemptEnded(upstream, result, startedMs);
        });
        openAttempts.add(handle[0]);
    }

    private void onNoUpstream(final ResultCode refusal) {
        if (attempts.inFlight() > 0) {
            return;
        }
        if (failedResponse != null) {
            complete(failedResponse);
        } else if (refusal != null) {
            completeUnsent(refusal);
        } else {
            completeUnsent(mayHaveRun ? ResultCode.LOST : ResultCode.NO_UPSTREAM);
        }
    }

    private Attempt newAttempt(final Upstream upstream) {
        final RequestHead head = grant.head();
        return new Attempt(
                head.requestId(),
                grant.tenant() == null ? null : grant.tenantName(),
                upstream.instance(),
                upstream.service(),
                upstream.address(),
                head.method(),
                grant.target().raw(),
                head.headers(),
                body,
                Math.min(permission.service().attemptTimeoutMs(), remainingMs()),
                grant.service().responseMaxBytes(),
                !permission.route().runOnce());
    }

    private void scheduleHedge(final Upstream upstream) {
        final long latencyTargetMs = permission.route().latencyTargetMs();
        if (latencyTargetMs > 0 && !grant.route().runOnce()) {
            final int number = attempts.started();
            context.clock()
                    .after(
                            Math.max(1, (long) (HEDGE_DELAY_RATIO * latencyTargetMs)),
                            () -> onHedgeDue(upstream, number));
        }
    }

    /**
     * Hedges an idempotent request: sends it to a second upstream if the first one hasn't responded in time and the retry budget
     * allows it. The first complete response is used.
     */
    private void onHedgeDue(final Upstream slowUpstream, final int number) {
        if (state == State.ATTEMPTING && attempts.inFlight() == 1 && attempts.started() == number) {
            context.loadBalancer().onAttemptLate(slowUpstream.instance());
            retry();
        }
    }

    private void onAttemptSent() {
        if (grant.tenant() != null) {
            context.usageCounter().onStarted(grant.tenantName());
        }
    }

    private void onAttemptEnded(final Upstream upstream, final AttemptResult result, final long startedMs) {
        attempts.ended(!(result instanceof AttemptResult.NotSent));
        mayHaveRun |= result instanceof AttemptResult.Answered || result instanceof AttemptResult.Lost;
        final Route route = permission.route();
        final long targetMs = route.latencyTargetMs() > 0
                ? route.latencyTargetMs()
                : permission.service().attemptTimeoutMs() / 4;
        context.loadBalancer()
                .onAttemptEnded(
                        upstream.service(),
                        upstream.instance(),
                        outcomeFor(result),
                        context.clock().nowMs() - startedMs,
                        targetMs);
        if (result instanceof AttemptResult.Answered answered) {
            onAnswered(upstream, answered);
        } else {
            onAttemptFailed(upstream, result);
        }
    }

    private AttemptOutcome outcomeFor(final AttemptResult result) {
        if (result instanceof AttemptResult.Answered) {
            return AttemptOutcome.ANSWERED;
        }
        if (attemptsCancelled) {
            return AttemptOutcome.CANCELLED;
        }
        if (result instanceof AttemptResult.NotSent unsent) {
            return unsent.why().equals(SEND_DENIED) ? AttemptOutcome.ANSWERED : AttemptOutcome.UNREACHABLE;
        }
        return result instanceof AttemptResult.NotRun ? AttemptOutcome.REJECTED : AttemptOutcome.LOST;
    }

    private void onAnswered(final Upstream upstream, final AttemptResult.Answered answered) {
        if (claim != null) {
            recordExecuted(upstream, answered);
        }
        final Response response = new Response(
                ResultCode.OK, ExecutionStatus.RAN, answered.content(), upstream.instance(), attempts.started(), 0);
        final boolean failed = isFailure(answered.content().status());
        if (claim == null && failed && !grant.route().runOnce() && state != State.ENDED) {
            failedResponse = response;
            if (attempts.inFlight() > 0 || retry()) {
                return;
            }
        }
        complete(response);
    }

    private boolean isFailure(final int status) {
        return status == 502
                || status == 503
                || status >= 500 && admission.limits().conventions().any500();
    }

    private void onAttemptFailed(final Upstream upstream, final AttemptResult result) {
        LOG.atFine().log(
                "event=attempt_failed node=%s instance=%s request=%s result=%s",
                context.self().name(), upstream.instance(), grant.head().requestId(), result);
        if (state == State.ENDED) {
            if (claim != null && !mayHaveRun) {
                claimManager.releaseUnused(claim, proven -> {});
            }
        } else if (grant.route().runOnce() && mayHaveRun) {
            completeWith(ResultCode.LOST);
        } else if (attempts.inFlight() == 0) {
            retryOrEnd();
        }
    }

    private void retryOrEnd() {
        if (failedResponse != null) {
            complete(failedResponse);
            return;
        }
        final ResultCode refusal = refusal();
        if (refusal != null) {
            completeUnsent(refusal);
        } else if (!retry()) {
            completeUnsent(mayHaveRun ? ResultCode.LOST : ResultCode.NO_UPSTREAM);
        }
    }

    /** Starts one more attempt if the limits and the retry budget allow it. */
    private boolean retry() {
        final int configuredMax = permission.route().attemptsMax();
        final int attemptsMax = configuredMax > 0
                ? Math.min(configuredMax, admission.limits().attemptsMax())
                : admission.limits().attemptsMax();
        if (state == State.ENDED
                || refusal() != null
                || !attempts.tryAcquire(attemptsMax, admission.retryBudget(permission.service()))) {
            return false;
        }
        startAttempt();
        return true;
    }

    /**
     * Stores the response in the local cache and at the cores of the home regions, and records the outcome of the claim. The
     * client's response doesn't wait for this.
     */
    private void recordExecuted(final Upstream upstream, final AttemptResult.Answered answered) {
        final HandoffMessage.Store stored = new HandoffMessage.Store(
                claimManager.key(), KeyHash.hex(MessageCodec.encodeRecord(answered.content())), answered.content());
        context.responseCache().put(stored);
        for (final String core : context.homeCores().apply(grant.tenant().homeRegions())) {
            context.messageSender().send(core, stored);
        }
        claimManager.recordExecuted(claim, answered.content().status(), stored.digest(), upstream.instance());
    }
}
