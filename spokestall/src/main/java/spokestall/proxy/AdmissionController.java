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
 * Admits requests before their bodies are read, and holds what all requests of an edge share: the concurrency limiter, the
 * retry budgets by service, the requests under way and the counts of results. Nothing is admitted without a fresh proof that
 * the configuration here is the newest. Not thread-safe; all calls are made on the node's event loop.
 */
public final class AdmissionController {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Methods that concern the connection, not the resource. */
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
        this.limiter = new ConcurrencyLimiter(limits.openRequestsMax(), limits.heldMaxBytes());
    }

    /** Applies other limits from now on; permits and bytes that were taken stay taken. */
    public void limits(final ProxyLimits newer) {
        limits = newer;
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

    /** Bytes of bodies that are held here or reserved. */
    public long heldBytes() {
        return limiter.bytes();
    }

    /** How often each result was given. */
    public Map<ResultCode, Long> resultCounts() {
        return resultCounts;
    }

    /** Admits nothing from now on. */
    public void stopAdmitting() {
        draining = true;
    }

    /** Ends all requests in flight, and returns their number; those that may have run end as undecided. */
    public int abortInFlight() {
        final List<RequestExecution> ended = List.copyOf(inFlight);
        ended.forEach(RequestExecution::abort);
        return ended.size();
    }

    /** Admits or rejects a request before its body is read; {@code responded} receives an admitted request's response. */
    public AdmissionResult admit(final RequestHead head, final Consumer<Response> responded) {
        final ExecutionStatus unproven =
                RequestTicket.of(head.requestId()) != null ? ExecutionStatus.UNDECIDED : ExecutionStatus.NOT_RUN;
        if (isMalformed(head)) {
            return rejected(ResultCode.MALFORMED, unproven);
        }
        if (!(RequestTarget.of(head.target()) instanceof RequestTarget.Good target)) {
            return rejected(ResultCode.BAD_TARGET, unproven);
        }
        final ResultCode unready = notReadyReason();
        if (unready != null) {
            return rejected(unready, unproven);
        }
        final Configuration configuration = context.configurationStore().configuration();
        if (draining || isOwnZoneDrained(configuration)) {
            return rejected(ResultCode.HELD, unproven);
        }
        final String keyHash = head.key() == null ? null : KeyHash.of(head.key());
        final Configuration.Found found = configuration.find(head.host(), target.path(), keyHash);
        final ResultCode unauthorized = authorizationFailure(found);
        if (unauthorized != null) {
            return rejected(unauthorized, unproven);
        }
        final Route route = found.route();
        final ServiceLimits service = route == null ? null : configuration.service(route.pickService(context.random()));
        if (service == null) {
            return rejected(ResultCode.NO_BINDING, unproven);
        }
        final AdmissionGrant grant = new AdmissionGrant(
                head,
                target,
                keyHash,
                found.tenant(),
                route,
                service,
                context.clock().nowMs() + timeoutMs(head, route));
        return admit(grant, unproven, responded);
    }

    private boolean isMalformed(final RequestHead head) {
        return limits.conventions().keyed() && head.key() == null
                || head.requestId() == null
                || !REQUEST_ID.matcher(head.requestId()).matches()
                || head.remainingMs() == Long.MIN_VALUE
                || NOT_PROXIED.contains(head.method());
    }

    /** Why this edge can admit nothing now, or null. */
    private ResultCode notReadyReason() {
        if (!context.feedClient().isFresh() || !context.fleetClock().settled()) {
            return ResultCode.NOT_FRESH;
        }
        return context.usageCounter().mayStart() ? null : ResultCode.UNCOUNTED;
    }

    /** Why whoever sent the request may not, or null. */
    private ResultCode authorizationFailure(final Configuration.Found found) {
        final boolean keyLacks =
                limits.conventions().keyed() ? found.tenant() == null : found.route() != null && found.keyMissing();
        if (keyLacks) {
            return ResultCode.BAD_KEY;
        }
        return isHomeOf(found.tenant()) ? null : ResultCode.WRONG_REGION;
    }

    private AdmissionResult admit(
            final AdmissionGrant grant, final ExecutionStatus ticketUnproven, final Consumer<Response> responded) {
        final RequestHead head = grant.head();
        final ServiceLimits service = grant.service();
        final boolean claims = grant.route().runOnce() && limits.conventions().claims();
        final ExecutionStatus unproven = claims ? ExecutionStatus.UNDECIDED : ticketUnproven;
        if (claims && !grant.hasTicket()) {
            return rejected(ResultCode.TICKET_MISSING, unproven);
        }
        if (head.remainingMs() <= 0) {
            return rejected(ResultCode.DEADLINE, unproven);
        }
        if (head.bodyBytes() > service.requestMaxBytes()) {
            return rejected(ResultCode.TOO_LARGE, unproven);
        }
        if (!context.loadBalancer()
                .hasCapacity(service, grant.tenantName(), u -> allows(grant.route(), grant.tenant(), u))) {
            logRejected(ResultCode.NO_UPSTREAM, grant.tenant(), grant.route());
            return rejected(ResultCode.NO_UPSTREAM, unproven);
        }
        // The longest that both bodies may be is kept free for the request from here on.
        final long heldBytes = (head.bodyBytes() < 0 ? service.requestMaxBytes() : head.bodyBytes())
                + (long) service.responseMaxBytes();
        if (!limiter.tryAcquire(grant.tenantName(), heldBytes)) {
            return rejected(ResultCode.BUSY, unproven);
        }
        final RequestExecution request = new RequestExecution(this, context, grant, heldBytes, responded);
        inFlight.add(request);
        if (head.bodyBytes() == 0) {
            request.reserve();
        }
        return new AdmissionResult.Admitted(request);
    }

    private long timeoutMs(final RequestHead head, final Route route) {
        final long spanMs = Math.min(head.remainingMs(), limits.requestTimeoutMaxMs());
        return route.timeoutMillis() > 0 ? Math.min(spanMs, route.timeoutMillis()) : spanMs;
    }

    /** Whether an upstream may be picked for a request: in a home region of it, and in no drained zone. */
    boolean allows(final Route route, final Tenant tenant, final Upstream upstream) {
        return route.allowsRegion(tenant, upstream.region())
                && !context.configurationStore().configuration().drainedZones().contains(upstream.zone());
    }

    /** Whether this node's own zone is drained and its edges take no requests then. */
    boolean isOwnZoneDrained(final Configuration configuration) {
        return limits.conventions().holdsEdges()
                && configuration.drainedZones().contains(context.self().zone());
    }

    /** Whether this node may take the tenant's requests. */
    boolean isHomeOf(final Tenant tenant) {
        return !limits.conventions().homeEdges()
                || tenant == null
                || tenant.homeRegions().isEmpty()
                || tenant.homeRegions().contains(context.self().region());
    }

    static String nameOf(final Tenant tenant) {
        return tenant == null ? "" : tenant.name();
    }

    /** The response when the node's event loop has no room even to admit or reject a request. */
    public Response overloaded(final RequestHead head) {
        return reject(
                ResultCode.BUSY,
                RequestTicket.of(head.requestId()) != null ? ExecutionStatus.UNDECIDED : ExecutionStatus.NOT_RUN,
                0);
    }

    /** Logs one line a second for each reason at most; {@link #resultCounts} has the counts. */
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

    /** A response of this node's own; one that may be repeated later says when, at random, so that clients spread out. */
    Response reject(final ResultCode result, final ExecutionStatus status, final int attempts) {
        final boolean later = result.httpStatus() == 503 || result.httpStatus() == 504;
        final long waitMs = later ? limits.retryAfterMs() + context.random().nextInt((int) limits.retryAfterMs()) : 0;
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

    /** Receives a stored response, or that another node has none. */
    public void onFetchResult(final HandoffMessage.FetchResult result) {
        final Consumer<HandoffMessage.FetchResult> waiting = storedResponseFetches.remove(result.requestId());
        if (waiting != null) {
            waiting.accept(result);
        }
    }

    /**
     * Finds the response of a run-once request that ran before, here or at a core of the tenant's home regions; {@code done}
     * receives null if none has it in time.
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
