package spokestall.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
import spokestall.handoff.HandoffMessage;
import spokestall.message.ResponseContent;

/**
 * An edge's asks: admission, before a body is read, and what all asks share. Without a fresh proof of the configuration nothing
 * is admitted and no go is begun. "Not run" is said only when it is proven.
 */
public final class AdmissionController {
    /** Bounds, from the settings. */
    public record Timing(
            int openRequestsMax,
            long heldMaxBytes,
            long claimKeepMs,
            long claimWaitMs,
            long handWaitMs,
            long retryAfterMs,
            int attemptsMax,
            double retryShare,
            double retryAllowance,
            long spanMaxMs,
            long ticketAheadMs,
            RequestConventions conventions) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Methods that speak of the wire, not of what is behind it. */
    private static final Set<String> NOT_PROXIED = Set.of("CONNECT", "TRACE");

    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private final ProxyContext parts;
    private Timing timing;
    private final ConcurrencyLimiter places;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final Map<Long, Consumer<HandoffMessage.FetchResult>> handRequests = new HashMap<>();
    private final Map<ResultCode, Long> told = new EnumMap<>(ResultCode.class);
    private final Map<ResultCode, Long> said = new EnumMap<>(ResultCode.class);
    private final Set<RequestExecution> underway = new HashSet<>();
    private boolean leaving;
    private long nextHandId = 1;

    /** Example: see {@code Node}. */
    public AdmissionController(final ProxyContext parts, final Timing timing) {
        this.parts = parts;
        this.timing = timing;
        this.places = new ConcurrencyLimiter(timing.openRequestsMax(), timing.heldMaxBytes());
    }

    /** Keeps to other bounds from now on; places and bytes stay as they were handed out. */
    public void timing(final Timing newer) {
        timing = newer;
    }

    Timing timing() {
        return timing;
    }

    ConcurrencyLimiter places() {
        return places;
    }

    /** Asks in flight here. */
    public int open() {
        return places.requests();
    }

    /** Bytes of bodies held here, or promised to. */
    public long heldBytes() {
        return places.bytes();
    }

    /** How often each result was told. */
    public Map<ResultCode, Long> told() {
        return told;
    }

    /** From now on nothing new is admitted. */
    public void leave() {
        leaving = true;
    }

    /** Answers all that is under way; what may have run is said to be undecided. */
    public void giveUp() {
        List.copyOf(underway).forEach(RequestExecution::giveUp);
    }

    /** Admission, before the body is read; done hears the final answer of an ask that was let in. */
    public AdmissionResult open(final RequestHead head, final Consumer<Response> done) {
        final RequestTicket ticket = RequestTicket.of(head.requestId());
        final ExecutionStatus doubt = ticket != null ? ExecutionStatus.UNDECIDED : ExecutionStatus.NOT_RUN;
        if (timing.conventions().keyed() && head.key() == null
                || head.requestId() == null
                || !REQUEST_ID.matcher(head.requestId()).matches()
                || head.spanMs() == Long.MIN_VALUE
                || NOT_PROXIED.contains(head.method())) {
            return rejected(ResultCode.MALFORMED, doubt);
        }
        if (!(RequestTarget.of(head.target()) instanceof RequestTarget.Good target)) {
            return rejected(ResultCode.BAD_TARGET, doubt);
        }
        if (!parts.follower().isFresh() || !parts.fleet().settled()) {
            return rejected(ResultCode.NOT_FRESH, doubt);
        }
        if (!parts.counter().mayBegin()) {
            return rejected(ResultCode.UNCOUNTED, doubt);
        }
        final Configuration configuration = parts.configurationStore().configuration();
        if (leaving || held(configuration)) {
            return rejected(ResultCode.HELD, doubt);
        }
        final String hash = head.key() == null ? null : KeyHash.of(head.key());
        final Configuration.Found found = configuration.find(head.host(), target.path(), hash);
        final Tenant tenant = found.tenant();
        final Route route = found.route();
        if (timing.conventions().keyed() ? tenant == null : route != null && found.keyMissing()) {
            return rejected(ResultCode.BAD_KEY, doubt);
        }
        if (!athome(tenant)) {
            return rejected(ResultCode.WRONG_REGION, doubt);
        }
        final ServiceLimits rule = route == null ? null : configuration.service(route.service(parts.random()));
        if (rule == null) {
            return rejected(ResultCode.NO_BINDING, doubt);
        }
        final boolean claims = route.runOnce() && timing.conventions().claims();
        final ExecutionStatus unproven = claims ? ExecutionStatus.UNDECIDED : doubt;
        if (claims && ticket == null) {
            return rejected(ResultCode.TICKET_MISSING, unproven);
        }
        if (head.spanMs() <= 0) {
            return rejected(ResultCode.DEADLINE, unproven);
        }
        if (head.bodyBytes() > rule.requestMaxBytes()) {
            return rejected(ResultCode.TOO_LARGE, unproven);
        }
        if (!parts.loadBalancer()
                .mayReserve(
                        rule,
                        nameOf(tenant),
                        u -> route.home(tenant, u.region())
                                && !configuration.holds().contains(u.zone()))) {
            say(ResultCode.NO_UPSTREAM, tenant, route);
            return rejected(ResultCode.NO_UPSTREAM, unproven);
        }
        // The longest that both bodies may be is kept free for the ask from here on.
        final long bytes =
                (head.bodyBytes() < 0 ? rule.requestMaxBytes() : head.bodyBytes()) + (long) rule.answerMaxBytes();
        if (!places.take(nameOf(tenant), bytes)) {
            return rejected(ResultCode.BUSY, unproven);
        }
        final RequestExecution run = new RequestExecution(
                this,
                parts,
                new RequestExecution.Grant(
                        head, target, hash, tenant, route, rule, parts.clock().nowMs() + spanMs(head, route)),
                bytes,
                done);
        underway.add(run);
        if (head.bodyBytes() == 0) {
            run.keep();
        }
        return new AdmissionResult.Admit(run);
    }

    private long spanMs(final RequestHead head, final Route route) {
        final long spanMs = Math.min(head.spanMs(), timing.spanMaxMs());
        return route.spanMs() > 0 ? Math.min(spanMs, route.spanMs()) : spanMs;
    }

    /** Whether this node's own zone is to be empty of asks too, not only of goes. */
    boolean held(final Configuration configuration) {
        return timing.conventions().holdsEdges()
                && configuration.holds().contains(parts.self().zone());
    }

    /** Whether this node may take the tenant's asks. */
    boolean athome(final Tenant tenant) {
        return !timing.conventions().homeEdges()
                || tenant == null
                || tenant.homeRegions().isEmpty()
                || tenant.homeRegions().contains(parts.self().region());
    }

    static String nameOf(final Tenant tenant) {
        return tenant == null ? "" : tenant.name();
    }

    /** What is told when there is no room even to look at an ask. */
    public Response crowded(final RequestHead head) {
        return deny(
                ResultCode.BUSY,
                RequestTicket.of(head.requestId()) != null ? ExecutionStatus.UNDECIDED : ExecutionStatus.NOT_RUN,
                0);
    }

    /** One line a second for each reason at the most; {@link #told} has the counts. */
    void say(final ResultCode why, final Tenant tenant, final Route route) {
        final long nowMs = parts.clock().nowMs();
        final Long saidMs = said.get(why);
        if (saidMs == null || nowMs - saidMs >= 1000) {
            said.put(why, nowMs);
            LOG.atInfo().log(
                    "event=denied node=%s code=%s tenant=%s homes=%s binding=%s regions=%s",
                    parts.self().name(),
                    why.number(),
                    nameOf(tenant),
                    tenant == null ? "" : tenant.homeRegions(),
                    route.name(),
                    route.regions());
        }
    }

    private AdmissionResult rejected(final ResultCode result, final ExecutionStatus ran) {
        told.merge(result, 1L, Long::sum);
        return new AdmissionResult.Rejected(deny(result, ran, 0));
    }

    Response deny(final ResultCode result, final ExecutionStatus ran, final int attempts) {
        final boolean later = result.httpStatus() == 503 || result.httpStatus() == 504;
        final long waitMs = later ? timing.retryAfterMs() + parts.random().nextInt((int) timing.retryAfterMs()) : 0;
        return new Response(result, ran, null, null, attempts, waitMs);
    }

    void ended(final RequestExecution run, final String tenant, final ResultCode result) {
        underway.remove(run);
        places.leave(tenant);
        told.merge(result, 1L, Long::sum);
    }

    RetryBudget budget(final ServiceLimits rule) {
        return budgets.computeIfAbsent(
                rule.name(),
                s -> new RetryBudget(
                        () -> timing.retryShare(),
                        () -> timing.retryAllowance() / parts.sharingEdges().getAsInt()));
    }

    /** Hears what another node kept. */
    public void hear(final HandoffMessage.FetchResult back) {
        final Consumer<HandoffMessage.FetchResult> waiting = handRequests.remove(back.requestId());
        if (waiting != null) {
            waiting.accept(back);
        }
    }

    /** A kept answer, from here or from a core of the tenant's home regions; null if none has it in time. */
    void fetch(final Tenant tenant, final String key, final String digest, final Consumer<ResponseContent> done) {
        final HandoffMessage.Store own = parts.responseCache().find(key, digest);
        if (own != null) {
            done.accept(own.content());
            return;
        }
        final long id = nextHandId++;
        final List<String> cores = parts.homeCores().apply(tenant.homeRegions());
        final int[] left = {cores.size()};
        handRequests.put(id, new Consumer<>() {
            @Override
            public void accept(final HandoffMessage.FetchResult back) {
                if (back.content() == null && --left[0] > 0) {
                    handRequests.put(id, this);
                } else {
                    done.accept(back.content());
                }
            }
        });
        for (final String core : cores) {
            parts.post().send(core, new HandoffMessage.Fetch(parts.self().address(), id, key, digest));
        }
        parts.clock().after(timing.handWaitMs(), () -> {
            if (handRequests.remove(id) != null) {
                done.accept(null);
            }
        });
    }
}
