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
 * One admitted request until its final response: reads its body, claims it if it must run once, attempts it at upstreams,
 * retries and hedges where that is allowed, and responds exactly once.
 *
 * <p>Stages only go forward: {@code READING_BODY}, {@code CLAIMING} (run-once requests with claims), {@code ATTEMPTING},
 * {@code ENDED}; each may go to {@code ENDED} directly. The claim is decided by a majority before the first byte of a
 * run-once request leaves this node. A response says "not run" only when that is proven.
 *
 * <p>Not thread-safe; all calls are made on the node's event loop.
 */
final class RequestExecution implements AdmittedRequest {
    private enum Stage {
        READING_BODY,
        CLAIMING,
        ATTEMPTING,
        ENDED
    }

    /** The part of a latency target after which an idempotent request is hedged at a second upstream. */
    private static final double HEDGE_AFTER = 0.6;

    /** What an upstream client says of an attempt that {@link AttemptPermission} stopped in the last moment. */
    private static final String STOPPED_HERE = "barred";

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
    private Stage stage = Stage.READING_BODY;
    private byte[] body;
    private IdempotencyClaim claim;
    private boolean mayHaveRun;
    /** A failed upstream response that is passed on if no retry brings a better one. */
    private Response failedResponse;

    private boolean clientDisconnected;
    private boolean attemptsCancelled;
    private boolean responseWritten;

    /** {@code heldBytes} were taken at admission; {@code responded} gets the final response, once. */
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
        context.clock().after(Math.max(0, remainingMs()), () -> endWith(ResultCode.DEADLINE));
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

    private void transitionTo(final Stage next) {
        assert next.ordinal() > stage.ordinal() : stage + " to " + next;
        stage = next;
    }

    @Override
    public ServiceLimits serviceLimits() {
        return permission.service();
    }

    @Override
    public void onBody(final byte[] complete) {
        if (stage != Stage.READING_BODY) {
            return;
        }
        body = complete;
        reservation.holdBytes(complete.length + (long) grant.service().responseMaxBytes());
        final ResultCode refusal = refusal();
        if (refusal != null) {
            endWith(refusal);
        } else if (!reserveCapacity()) {
            endWith(ResultCode.NO_UPSTREAM);
        } else if (claimManager == null) {
            transitionTo(Stage.ATTEMPTING);
            attempt();
        } else {
            transitionTo(Stage.CLAIMING);
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
        if (stage == Stage.READING_BODY) {
            endWith(reason);
        }
    }

    @Override
    public void onClientDisconnected() {
        clientDisconnected = true;
        onBodyFailed(ResultCode.MALFORMED);
        cancelAttempts();
        onResponseWritten();
    }

    /** Nobody waits for the response any more: what may be repeated is ended; what must run once runs to its end. */
    private void cancelAttempts() {
        if (stage != Stage.ATTEMPTING || grant.route().runOnce()) {
            return;
        }
        attemptsCancelled = true;
        endWith(ResultCode.DEADLINE);
        List.copyOf(openAttempts).forEach(AttemptHandle::cancel);
    }

    @Override
    public void onResponseWritten() {
        responseWritten = true;
        if (stage == Stage.ENDED) {
            reservation.holdBytes(0);
        }
    }

    /**
     * Reserves the upstream capacity that admission found, for a request without a body. With a body it is reserved once
     * that has arrived, or clients that send slowly would occupy it.
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

    /** Ends the request with what is known of it, because this node shuts down. */
    void giveUp() {
        if (stage != Stage.ENDED) {
            endUnsent(ResultCode.HELD);
        }
    }

    private void end(final Response response) {
        if (stage == Stage.ENDED) {
            return;
        }
        transitionTo(Stage.ENDED);
        reservation.end();
        reservation.holdBytes(
                responseWritten || response.content() == null
                        ? 0
                        : response.content().body().length);
        admission.onEnded(this, grant.tenantName(), response.result());
        body = null;
        responded.accept(response);
    }

    /** Ends the request with a result of this node's own; "not run" only if no attempt may have run it, or may yet. */
    private void endWith(final ResultCode result) {
        final boolean undecided = claimManager != null || grant.hasTicket() || mayHaveRun || attempts.open() > 0;
        end(admission.reject(
                result, undecided ? ExecutionStatus.UNDECIDED : ExecutionStatus.NOT_RUN, attempts.begun()));
    }

    /** Sends nothing more. A claim that was not used is first released in its register, then the client is answered. */
    private void endUnsent(final ResultCode reason) {
        if (claim != null && !mayHaveRun) {
            claimManager.releaseUnused(
                    claim,
                    proven -> end(admission.reject(
                            reason, proven ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNDECIDED, attempts.begun())));
        } else {
            endWith(reason);
        }
    }

    /** Why nothing may be sent now, or null if an attempt may begin. */
    private ResultCode refusal() {
        return stage == Stage.ENDED || clientDisconnected ? ResultCode.DEADLINE : permission.refusal();
    }

    private void onClaimResult(final ClaimResult result) {
        if (result instanceof ClaimResult.Granted granted) {
            onClaimGranted(granted.claim());
        } else if (result instanceof ClaimResult.AlreadyRan earlier) {
            admission.fetchStoredResponse(
                    grant.tenant(),
                    claimManager.key(),
                    earlier.claim().answerDigest(),
                    content -> end(new Response(
                            content != null ? ResultCode.REPEATED : ResultCode.RAN_ANSWER_GONE,
                            ExecutionStatus.RAN,
                            content,
                            earlier.claim().instance(),
                            0,
                            0)));
        } else if (result instanceof ClaimResult.Refused refused) {
            final ResultCode refusal = refused.reason() == ResultCode.UNCLEAR ? refusal() : null;
            endWith(refusal != null ? refusal : refused.reason());
        }
    }

    private void onClaimGranted(final IdempotencyClaim granted) {
        claim = granted;
        if (stage == Stage.ENDED) {
            claimManager.releaseUnused(claim, proven -> {});
            return;
        }
        transitionTo(Stage.ATTEMPTING);
        attempt();
    }

    private void attempt() {
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
        if (attempts.begin()) {
            // Retries are a share of the requests that reached an upstream, not of those that were admitted.
            admission.budget(permission.service()).asked();
        }
        attemptedInstances.add(upstream.instance());
        final Attempt attempt = attemptAt(upstream);
        final long begunMs = context.clock().nowMs();
        context.loadBalancer().onAttemptStarted(upstream.instance());
        reservation.release();
        scheduleHedge(upstream);
        final LongSupplier sendableUntilMs = () -> refusal() != null
                ? Long.MIN_VALUE
                : Math.min(grant.deadlineMs(), context.follower().lease().expiresMs());
        final AttemptHandle[] handle = new AttemptHandle[1];
        handle[0] = context.upstreams().attempt(attempt, sendableUntilMs, this::onAttemptSent, result -> {
            openAttempts.remove(handle[0]);
            onAttemptEnded(upstream, result, begunMs);
        });
        openAttempts.add(handle[0]);
    }

    private void onNoUpstream(final ResultCode refusal) {
        if (attempts.open() > 0) {
            return;
        }
        if (failedResponse != null) {
            end(failedResponse);
        } else if (refusal != null) {
            endUnsent(refusal);
        } else {
            endUnsent(mayHaveRun ? ResultCode.LOST : ResultCode.NO_UPSTREAM);
        }
    }

    private Attempt attemptAt(final Upstream upstream) {
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
            final int number = attempts.begun();
            context.clock()
                    .after(Math.max(1, (long) (HEDGE_AFTER * latencyTargetMs)), () -> onHedgeDue(upstream, number));
        }
    }

    /** An idempotent request is sent to a second upstream as well, once and paid for; the first complete answer counts. */
    private void onHedgeDue(final Upstream silent, final int number) {
        if (stage == Stage.ATTEMPTING && attempts.open() == 1 && attempts.begun() == number) {
            context.loadBalancer().onAttemptLate(silent.instance());
            retry();
        }
    }

    private void onAttemptSent() {
        if (grant.tenant() != null) {
            context.counter().onStarted(grant.tenantName());
        }
    }

    private void onAttemptEnded(final Upstream upstream, final AttemptResult result, final long begunMs) {
        attempts.ended(!(result instanceof AttemptResult.NotSent));
        mayHaveRun |= result instanceof AttemptResult.Answered || result instanceof AttemptResult.Lost;
        final Route route = permission.route();
        final long slowMs = route.latencyTargetMs() > 0
                ? route.latencyTargetMs()
                : permission.service().attemptTimeoutMs() / 4;
        context.loadBalancer()
                .onAttemptEnded(
                        upstream.service(),
                        upstream.instance(),
                        outcomeFor(result),
                        context.clock().nowMs() - begunMs,
                        slowMs);
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
            return unsent.why().equals(STOPPED_HERE) ? AttemptOutcome.ANSWERED : AttemptOutcome.UNREACHABLE;
        }
        return result instanceof AttemptResult.NotRun ? AttemptOutcome.REJECTED : AttemptOutcome.LOST;
    }

    private void onAnswered(final Upstream upstream, final AttemptResult.Answered answered) {
        if (claim != null) {
            recordExecuted(upstream, answered);
        }
        final Response response = new Response(
                ResultCode.OK, ExecutionStatus.RAN, answered.content(), upstream.instance(), attempts.begun(), 0);
        final boolean failed = isFailure(answered.content().status());
        if (claim == null && failed && !grant.route().runOnce() && stage != Stage.ENDED) {
            failedResponse = response;
            if (attempts.open() > 0 || retry()) {
                return;
            }
        }
        end(response);
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
        if (stage == Stage.ENDED) {
            if (claim != null && !mayHaveRun) {
                claimManager.releaseUnused(claim, proven -> {});
            }
        } else if (grant.route().runOnce() && mayHaveRun) {
            endWith(ResultCode.LOST);
        } else if (attempts.open() == 0) {
            retryOrEnd();
        }
    }

    private void retryOrEnd() {
        if (failedResponse != null) {
            end(failedResponse);
            return;
        }
        final ResultCode refusal = refusal();
        if (refusal != null) {
            endUnsent(refusal);
        } else if (!retry()) {
            endUnsent(mayHaveRun ? ResultCode.LOST : ResultCode.NO_UPSTREAM);
        }
    }

    /** Begins one more attempt if limits and the retry budget allow it. */
    private boolean retry() {
        final int configuredMax = permission.route().attemptsMax();
        final int attemptsMax = configuredMax > 0
                ? Math.min(configuredMax, admission.limits().attemptsMax())
                : admission.limits().attemptsMax();
        if (stage == Stage.ENDED
                || refusal() != null
                || !attempts.again(attemptsMax, admission.budget(permission.service()))) {
            return false;
        }
        attempt();
        return true;
    }

    /** The claim's end and the response go to their stores and to cores of the home regions; the client doesn't wait. */
    private void recordExecuted(final Upstream upstream, final AttemptResult.Answered answered) {
        final HandoffMessage.Store stored = new HandoffMessage.Store(
                claimManager.key(), KeyHash.hex(MessageCodec.encodeRecord(answered.content())), answered.content());
        context.responseCache().put(stored);
        for (final String core : context.homeCores().apply(grant.tenant().homeRegions())) {
            context.post().send(core, stored);
        }
        claimManager.recordExecuted(claim, answered.content().status(), stored.digest(), upstream.instance());
    }
}
