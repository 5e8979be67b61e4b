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
 * An edge's asks: admission, before a body is read, and what all asks share. Without a fresh proof of the policy nothing
 * is admitted and no go is begun. "Not run" is said only when it is proven.
 */
public final class AdmissionController {
    /** Bounds, from the settings. */
    public record Pace(
            int asksOpenMax,
            long heldMaxBytes,
            long claimKeepMs,
            long claimWaitMs,
            long handWaitMs,
            long retryAfterMs,
            int goesMax,
            double retryShare,
            double retryAllowance,
            long spanMaxMs,
            long ticketAheadMs,
            RequestConventions habits) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Methods that speak of the wire, not of what is behind it. */
    private static final Set<String> NOT_PROXIED = Set.of("CONNECT", "TRACE");

    private static final Pattern ASK_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private final ProxyContext parts;
    private Pace pace;
    private final ConcurrencyLimiter places;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final Map<Long, Consumer<HandoffMessage.Back>> handAsks = new HashMap<>();
    private final Map<ResultCode, Long> told = new EnumMap<>(ResultCode.class);
    private final Map<ResultCode, Long> said = new EnumMap<>(ResultCode.class);
    private final Set<RequestExecution> underway = new HashSet<>();
    private boolean leaving;
    private long nextHandId = 1;

    /** Example: see {@code Node}. */
    public AdmissionController(final ProxyContext parts, final Pace pace) {
        this.parts = parts;
        this.pace = pace;
        this.places = new ConcurrencyLimiter(pace.asksOpenMax(), pace.heldMaxBytes());
    }

    /** Keeps to other bounds from now on; places and bytes stay as they were handed out.
     * Example: {@code edge.pace(newer);} */
    public void pace(final Pace newer) {
        pace = newer;
    }

    Pace pace() {
        return pace;
    }

    ConcurrencyLimiter places() {
        return places;
    }

    /** Asks in flight here. Example: {@code edge.open() == 0} */
    public int open() {
        return places.asks();
    }

    /** Bytes of bodies held here, or promised to. Example: {@code edge.heldBytes() <= settings.ms("heldMaxBytes")} */
    public long heldBytes() {
        return places.bytes();
    }

    /** How often each result was told. Example: {@code edge.told().get(ResultCode.OK)} */
    public Map<ResultCode, Long> told() {
        return told;
    }

    /** From now on nothing new is admitted. Example: {@code edge.leave();} */
    public void leave() {
        leaving = true;
    }

    /** Answers all that is under way; what may have run is said to be undecided. Example: {@code edge.giveUp();} */
    public void giveUp() {
        List.copyOf(underway).forEach(RequestExecution::giveUp);
    }

    /** Admission, before the body is read; done hears the final answer of an ask that was let in.
     * Example: {@code edge.open(head, answer -> ...) instanceof AdmissionResult.Admit} */
    public AdmissionResult open(final RequestHead head, final Consumer<Response> done) {
        final RequestTicket ticket = RequestTicket.of(head.askId());
        final ExecutionStatus doubt = ticket != null ? ExecutionStatus.UNDECIDED : ExecutionStatus.NOT_RUN;
        if (pace.habits().keyed() && head.key() == null
                || head.askId() == null
                || !ASK_ID.matcher(head.askId()).matches()
                || head.spanMs() == Long.MIN_VALUE
                || NOT_PROXIED.contains(head.method())) {
            return denied(ResultCode.MALFORMED, doubt);
        }
        if (!(RequestTarget.of(head.target()) instanceof RequestTarget.Good target)) {
            return denied(ResultCode.BAD_TARGET, doubt);
        }
        if (!parts.follower().fresh() || !parts.fleet().settled()) {
            return denied(ResultCode.NOT_FRESH, doubt);
        }
        if (!parts.counter().mayBegin()) {
            return denied(ResultCode.UNCOUNTED, doubt);
        }
        final Configuration policy = parts.book().policy();
        if (leaving || held(policy)) {
            return denied(ResultCode.HELD, doubt);
        }
        final String hash = head.key() == null ? null : KeyHash.of(head.key());
        final Configuration.Found found = policy.find(head.host(), target.path(), hash);
        final Tenant tenant = found.tenant();
        final Route binding = found.binding();
        if (pace.habits().keyed() ? tenant == null : binding != null && found.keyMissing()) {
            return denied(ResultCode.BAD_KEY, doubt);
        }
        if (!athome(tenant)) {
            return denied(ResultCode.WRONG_REGION, doubt);
        }
        final ServiceLimits rule = binding == null ? null : policy.service(binding.service(parts.random()));
        if (rule == null) {
            return denied(ResultCode.NO_BINDING, doubt);
        }
        final boolean claims = binding.runOnce() && pace.habits().claims();
        final ExecutionStatus unproven = claims ? ExecutionStatus.UNDECIDED : doubt;
        if (claims && ticket == null) {
            return denied(ResultCode.TICKET_MISSING, unproven);
        }
        if (head.spanMs() <= 0) {
            return denied(ResultCode.DEADLINE, unproven);
        }
        if (head.bodyBytes() > rule.askMaxBytes()) {
            return denied(ResultCode.TOO_LARGE, unproven);
        }
        if (!parts.elector()
                .mayReserve(
                        rule,
                        nameOf(tenant),
                        u -> binding.home(tenant, u.region()) && !policy.holds().contains(u.district()))) {
            say(ResultCode.NO_UPSTREAM, tenant, binding);
            return denied(ResultCode.NO_UPSTREAM, unproven);
        }
        // The longest that both bodies may be is kept free for the ask from here on.
        final long bytes =
                (head.bodyBytes() < 0 ? rule.askMaxBytes() : head.bodyBytes()) + (long) rule.answerMaxBytes();
        if (!places.take(nameOf(tenant), bytes)) {
            return denied(ResultCode.BUSY, unproven);
        }
        final RequestExecution run = new RequestExecution(
                this,
                parts,
                new RequestExecution.Grant(
                        head, target, hash, tenant, binding, rule, parts.clock().nowMs() + spanMs(head, binding)),
                bytes,
                done);
        underway.add(run);
        if (head.bodyBytes() == 0) {
            run.keep();
        }
        return new AdmissionResult.Admit(run);
    }

    private long spanMs(final RequestHead head, final Route binding) {
        final long spanMs = Math.min(head.spanMs(), pace.spanMaxMs());
        return binding.spanMs() > 0 ? Math.min(spanMs, binding.spanMs()) : spanMs;
    }

    /** Whether this node's own district is to be empty of asks too, not only of goes. */
    boolean held(final Configuration policy) {
        return pace.habits().holdsEdges()
                && policy.holds().contains(parts.self().district());
    }

    /** Whether this node may take the tenant's asks. */
    boolean athome(final Tenant tenant) {
        return !pace.habits().homeEdges()
                || tenant == null
                || tenant.homeRegions().isEmpty()
                || tenant.homeRegions().contains(parts.self().region());
    }

    static String nameOf(final Tenant tenant) {
        return tenant == null ? "" : tenant.name();
    }

    /** What is told when there is no room even to look at an ask. Example: {@code answer(edge.crowded(head));} */
    public Response crowded(final RequestHead head) {
        return deny(
                ResultCode.BUSY,
                RequestTicket.of(head.askId()) != null ? ExecutionStatus.UNDECIDED : ExecutionStatus.NOT_RUN,
                0);
    }

    /** One line a second for each reason at the most; {@link #told} has the counts. */
    void say(final ResultCode why, final Tenant tenant, final Route binding) {
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
                    binding.name(),
                    binding.regions());
        }
    }

    private AdmissionResult denied(final ResultCode result, final ExecutionStatus ran) {
        told.merge(result, 1L, Long::sum);
        return new AdmissionResult.Deny(deny(result, ran, 0));
    }

    Response deny(final ResultCode result, final ExecutionStatus ran, final int goes) {
        final boolean later = result.httpStatus() == 503 || result.httpStatus() == 504;
        final long waitMs = later ? pace.retryAfterMs() + parts.random().nextInt((int) pace.retryAfterMs()) : 0;
        return new Response(result, ran, null, null, goes, waitMs);
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
                        () -> pace.retryShare(),
                        () -> pace.retryAllowance() / parts.sharers().getAsInt()));
    }

    /** Hears what another node kept. Example: {@code edge.hear(back);} */
    public void hear(final HandoffMessage.Back back) {
        final Consumer<HandoffMessage.Back> waiting = handAsks.remove(back.askId());
        if (waiting != null) {
            waiting.accept(back);
        }
    }

    /** A kept answer, from here or from a core of the tenant's home regions; null if none has it in time. */
    void fetch(final Tenant tenant, final String key, final String digest, final Consumer<ResponseContent> done) {
        final HandoffMessage.Keep own = parts.shelf().find(key, digest);
        if (own != null) {
            done.accept(own.content());
            return;
        }
        final long id = nextHandId++;
        final List<String> cores = parts.homeCores().apply(tenant.homeRegions());
        final int[] left = {cores.size()};
        handAsks.put(id, new Consumer<>() {
            @Override
            public void accept(final HandoffMessage.Back back) {
                if (back.content() == null && --left[0] > 0) {
                    handAsks.put(id, this);
                } else {
                    done.accept(back.content());
                }
            }
        });
        for (final String core : cores) {
            parts.post().send(core, new HandoffMessage.Ask(parts.self().address(), id, key, digest));
        }
        parts.clock().after(pace.handWaitMs(), () -> {
            if (handAsks.remove(id) != null) {
                done.accept(null);
            }
        });
    }
}
