package spokestall.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import spokestall.api.ResultCode;
import spokestall.configuration.Configuration;
import spokestall.configuration.KeyHash;
import spokestall.configuration.RequestTarget;
import spokestall.configuration.Route;
import spokestall.configuration.ServiceLimits;
import spokestall.configuration.Tenant;
import spokestall.discovery.Upstream;
import spokestall.handoff.HandoffMessage;
import spokestall.message.ResponseContent;

/**
 * Admits or rejects requests before their bodies are read. Owns the state that all requests of an edge share: the concurrency
 * limiter, the retry budget of each service, the requests in flight and the result counts. Admits a request only while the
 * freshness lease proves that this node's configuration is the newest.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class AdmissionController {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** HTTP methods that apply to the connection and not to a resource; requests with them are malformed. */
    private static final Set<String> NOT_PROXIED = Set.of("CONNECT", "TRACE");

    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private final ProxyContext context;
    private ProxyLimits limits;
    private final ConcurrencyLimiter limiter;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final Map<Long, Consumer<HandoffMessage.FetchResult>> storedResponseFetches = new HashMap<>();
    private final Map<ResultCode, Long> resultCounts = new EnumMap<>(ResultCode.class);
    private final Map<ResultCode, Long> lastLoggedMs = new EnumMap<>(ResultCode.class);
    private final Set<RequestExecution> inFlight = new HashSet<>();
    private boolean draining;
    private long nextFetchId = 1;

    public AdmissionController(final ProxyContext context, final ProxyLimits limits) {
        this.context = context;
        this.limits = limits;
        this.limiter = new ConcurrencyLimiter(limits.requestsInFlightMax(), limits.heldMaxBytes());
    }

    /** Replaces the limits; requests in flight keep their permits and held bytes. */
    public void limits(final ProxyLimits newLimits) {
        limits = newLimits;
    }

    ProxyLimits limits() {
        return limits;
    }

    ConcurrencyLimiter limiter() {
        return limiter;
    }

    /** The number of requests in flight. */
    public int requestsInFlight() {
        return limiter.requests();
    }

    /** The bytes that are held or reserved for request and response bodies. */
    public long heldBytes() {
        return limiter.bytes();
    }

    /** The number of responses by result. */
    public Map<ResultCode, Long> resultCounts() {
        return resultCounts;
    }

    /** Rejects all new requests from now on, because this node shuts down. */
    public void stopAdmitting() {
        draining = true;
    }

    /** Ends all requests in flight and returns their number; a request that may have run gets the status "undecided". */
    public int abortInFlight() {
        final List<RequestExecution> ended = List.copyOf(inFlight);
        ended.forEach(RequestExecution::abort);
        return ended.size();
    }

    /** Admits or rejects a request before its body is read; {@code responded} receives an admitted request's response, once. */
    public AdmissionResult admit(final RequestHead head, final Consumer<Response> responded) {
        final ExecutionStatus rejectedStatus =
                RequestTicket.of(head.requestId()) != null ? ExecutionStatus.UNDECIDED : ExecutionStatus.NOT_RUN;
        if (isMalformed(head)) {
            return rejected(ResultCode.MALFORMED, rejectedStatus);
        }
        if (!(RequestTarget.of(head.target()) instanceof RequestTarget.Valid target)) {
            return rejected(ResultCode.BAD_TARGET, rejectedStatus);
        }
        final ResultCode notReady = notReadyReason();
        if (notReady != null) {
            return rejected(notReady, rejectedStatus);
        }
        final Configuration configuration = context.configurationStore().configuration();
        if (draining || isOwnZoneDrained(configuration)) {
            return rejected(ResultCode.HELD, rejectedStatus);
        }
        final String keyHash = head.key() == null ? null : KeyHash.of(head.key());
        final Configuration.Resolution found = configuration.resolve(head.host(), target.path(), keyHash);
        final ResultCode authorizationFailure = authorizationFailure(found);
        if (authorizationFailure != null) {
            return rejected(authorizationFailure, rejectedStatus);
        }
        final Route route = found.route();
        final ServiceLimits service = route == null ? null : configuration.service(route.pickService(context.random()));
        if (service == null) {
            return rejected(ResultCode.NO_BINDING, rejectedStatus);
        }
        final AdmissionGrant grant = new AdmissionGrant(
                head,
                target,
                keyHash,
                found.tenant(),
                route,
                service,
                context.clock().nowMs() + timeoutMillis(head, route));
        return admit(grant, rejectedStatus, responded);
    }

    private boolean isMalformed(final RequestHead head) {
        return limits.conventions().keyed() && head.key() == null
                || head.requestId() == null
                || !REQUEST_ID.matcher(head.requestId()).matches()
                || head.remainingMs() == Long.MIN_VALUE
                || NOT_PROXIED.contains(head.method());
    }

    /** Returns why this edge can't admit any request now, or null if it can. */
    private ResultCode notReadyReason() {
        if (!context.feedClient().isFresh() || !context.fleetClock().settled()) {
            return ResultCode.NOT_FRESH;
        }
        // Without a configuration every key and route is unknown, although the first one may be in force elsewhere
        // already.
        if (context.configurationStore().configuration().isBlank()) {
            return ResultCode.NOT_FRESH;
        }
        return context.usageCounter().mayStart() ? null : ResultCode.UNCOUNTED;
    }

    /** Returns why the client isn't authorized to send the request here, or null if it is. */
    private ResultCode authorizationFailure(final Configuration.Resolution found) {
        final boolean keyMissing =
                limits.conventions().keyed() ? found.tenant() == null : found.route() != null && found.keyMissing();
        if (keyMissing) {
            return ResultCode.BAD_KEY;
        }
        return isHomeOf(found.tenant()) ? null : ResultCode.WRONG_REGION;
    }

    private AdmissionResult admit(
            final AdmissionGrant grant,
            final ExecutionStatus ticketRejectedStatus,
            final Consumer<Response> responded) {
        final RequestHead head = grant.head();
        final ServiceLimits service = grant.service();
        final boolean claims = grant.route().runOnce() && limits.conventions().claims();
        final ExecutionStatus rejectedStatus = claims ? ExecutionStatus.UNDECIDED : ticketRejectedStatus;
        if (claims && !grant.hasTicket()) {
            return rejected(ResultCode.TICKET_MISSING, rejectedStatus);
        }
        if (head.remainingMs() <= 0) {
            return rejected(ResultCode.DEADLINE, rejectedStatus);
        }
        if (head.bodyBytes() > service.requestMaxBytes()) {
            return rejected(ResultCode.TOO_LARGE, rejectedStatus);
        }
        if (!context.loadBalancer()
                .hasCapacity(service, grant.tenantName(), u -> allows(grant.route(), grant.tenant(), u))) {
            logRejected(ResultCode.NO_UPSTREAM, grant.tenant(), grant.route());
            return rejected(ResultCode.NO_UPSTREAM, rejectedStatus);
        }
        // Reserves memory for the largest request and response bodies that the service allows.
        final long heldBytes = (head.bodyBytes() < 0 ? service.requestMaxBytes() : head.bodyBytes())
                + (long) service.responseMaxBytes();
        if (!limiter.tryAcquire(grant.tenantName(), heldBytes)) {
            return rejected(ResultCode.BUSY, rejectedStatus);
        }
        final RequestExecution request = new RequestExecution(this, context, grant, heldBytes, responded);
        inFlight.add(request);
        if (head.bodyBytes() == 0) {
            request.reserve();
        }
        return new AdmissionResult.Admitted(request);
    }

    private long timeoutMillis(final RequestHead head, final Route route) {
        final long spanMs = Math.min(head.remainingMs(), limits.requestTimeoutMaxMs());
        return route.timeoutMillis() > 0 ? Math.min(spanMs, route.timeoutMillis()) : spanMs;
    }

    /** Whether a request may go to an upstream: the route and tenant allow its region, and its zone isn't drained. */
    boolean allows(final Route route, final Tenant tenant, final Upstream upstream) {
        return route.allowsRegion(tenant, upstream.region())
                && !context.configurationStore().configuration().drainedZones().contains(upstream.zone());
    }

    /** Whether this node rejects requests because its own zone is drained. */
    boolean isOwnZoneDrained(final Configuration configuration) {
        return limits.conventions().holdsEdges()
                && configuration.drainedZones().contains(context.self().zone());
    }

    /** Whether this node may serve the tenant's requests: its region is a home region, or any region may serve them. */
    boolean isHomeOf(final Tenant tenant) {
        return !limits.conventions().homeEdges()
                || tenant == null
                || tenant.homeRegions().isEmpty()
                || tenant.homeRegions().contains(context.self().region());
    }

    static String nameOf(final Tenant tenant) {
        return tenant == null ? "" : tenant.name();
    }

    /** Returns the response for a request that can't be queued for admission because the node's event loop is overloaded. */
    public Response overloaded(final RequestHead head) {
        return reject(
                ResultCode.BUSY,
                RequestTicket.of(head.requestId()) != null ? ExecutionStatus.UNDECIDED : ExecutionStatus.NOT_RUN,
                0);
    }

    /** Logs a rejection, at most once a second for each reason; {@link #resultCounts} counts all of them. */
    private void logRejected(final ResultCode reason, final Tenant tenant, final Route route) {
        final long nowMs = context.clock().nowMs();
        final Long lastMs = lastLoggedMs.get(reason);
        if (lastMs == null || nowMs - lastMs >= 1000) {
            lastLoggedMs.put(reason, nowMs);
            LOG.atInfo().log(
                    "event=request_rejected node=%s code=%s tenant=%s homes=%s route=%s regions=%s",
                    context.self().name(),
                    reason.number(),
                    nameOf(tenant),
                    tenant == null ? "" : tenant.homeRegions(),
                    route.name(),
                    route.regions());
        }
    }

    private AdmissionResult rejected(final ResultCode result, final ExecutionStatus status) {
        resultCounts.merge(result, 1L, Long::sum);
        return new AdmissionResult.Rejected(reject(result, status, 0));
    }

    /**
     * Returns a response that this node generates itself. A response with status 503 or 504 contains a retry time with random
     * jitter, so that rejected clients don't all retry at the same moment.
     */
    Response reject(final ResultCode result, final ExecutionStatus status, final int attempts) {
        final boolean retryable = result.httpStatus() == 503 || result.httpStatus() == 504;
        final long waitMs =
                retryable ? limits.retryAfterMs() + context.random().nextInt((int) limits.retryAfterMs()) : 0;
        return new Response(result, status, null, null, attempts, waitMs);
    }

    void onRequestEnded(final RequestExecution request, final String tenant, final ResultCode result) {
        inFlight.remove(request);
        limiter.release(tenant);
        resultCounts.merge(result, 1L, Long::sum);
    }

    RetryBudget retryBudget(final ServiceLimits service) {
        return retryBudgets.computeIfAbsent(
                service.name(),
                name -> new RetryBudget(
                        () -> limits.retryRatio(),
                        () -> limits.retryAllowance() / context.sharingEdges().getAsInt()));
    }

    /** Receives a core's reply to a {@link #fetchStoredResponse} request; it has no content if the core has no response stored. */
    public void onFetchResult(final HandoffMessage.FetchResult result) {
        final Consumer<HandoffMessage.FetchResult> waiting = storedResponseFetches.remove(result.requestId());
        if (waiting != null) {
            waiting.accept(result);
        }
    }

    /**
     * Finds the stored response of a run-once request that has already run, on this node or at a core of the tenant's home
     * regions. {@code done} receives null if no core returns the response within
     * {@link ProxyLimits#storedResponseTimeoutMs}.
     */
    void fetchStoredResponse(
            final Tenant tenant, final String key, final String digest, final Consumer<ResponseContent> done) {
        final Optional<HandoffMessage.Store> own = context.responseCache().find(key, digest);
        if (own.isPresent()) {
            done.accept(own.get().content());
            return;
        }
        final long id = nextFetchId++;
        final List<String> cores = context.homeCores().apply(tenant.homeRegions());
        final int[] pending = {cores.size()};
        storedResponseFetches.put(id, new Consumer<>() {
            @Override
            public void accept(final HandoffMessage.FetchResult result) {
                if (result.content() == null && --pending[0] > 0) {
                    storedResponseFetches.put(id, this);
                } else {
                    done.accept(result.content());
                }
            }
        });
        for (final String core : cores) {
            context.messageSender()
                    .send(core, new HandoffMessage.Fetch(context.self().address(), id, key, digest));
        }
        context.clock().after(limits.storedResponseTimeoutMs(), () -> {
            if (storedResponseFetches.remove(id) != null) {
                done.accept(null);
            }
        });
    }
}
