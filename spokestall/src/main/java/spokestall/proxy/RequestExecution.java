package spokestall.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import spokestall.api.ResultCode;
import spokestall.configuration.Configuration;
import spokestall.configuration.KeyHash;
import spokestall.configuration.RequestTarget;
import spokestall.configuration.Route;
import spokestall.configuration.ServiceLimits;
import spokestall.configuration.Tenant;
import spokestall.discovery.Upstream;
import spokestall.handoff.HandoffMessage;
import spokestall.message.MessageCodec;

/** One ask on its way, from the moment it got its place to its final answer. */
final class RequestExecution implements AdmittedRequest {
    /** What an ask was let in by. */
    record Grant(
            RequestHead head,
            RequestTarget.Good target,
            String keyHash,
            Tenant tenant,
            Route route,
            ServiceLimits rule,
            long deadlineMs) {}

    private enum Stage {
        READING,
        CLAIMING,
        GOING,
        ENDED
    }

    /** The part of an aim after which what may be repeated is asked of a second upstream as well. */
    private static final double LATE = 0.6;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final AdmissionController edge;
    private final ProxyContext parts;
    private final Grant ask;
    private final Consumer<Response> done;
    private final Set<String> tried = new HashSet<>();
    private final ClaimManager claimManager;
    private Stage stage = Stage.READING;
    private byte[] body;
    private IdempotencyClaim claim;
    private final AttemptBudget attempts;
    private boolean mayHaveRun;
    private Response held;
    private boolean clientGone;
    private boolean out;
    private boolean holding;
    private boolean reserved;
    private long heldBytes;
    private ServiceLimits rule;
    private Route route;

    RequestExecution(
            final AdmissionController edge,
            final ProxyContext parts,
            final Grant ask,
            final long heldBytes,
            final Consumer<Response> done) {
        this.edge = edge;
        this.parts = parts;
        this.ask = ask;
        this.heldBytes = heldBytes;
        this.done = done;
        this.rule = ask.rule();
        this.route = ask.route();
        this.attempts = new AttemptBudget(edge.timing().conventions().unsentFree());
        this.claimManager = ask.route().runOnce() && edge.timing().conventions().claims()
                ? new ClaimManager(
                        parts,
                        edge.timing(),
                        IdempotencyClaim.key(ask.tenant().name(), ask.head().requestId()))
                : null;
        parts.clock().after(Math.max(0, ask.deadlineMs() - parts.clock().nowMs()), () -> give(ResultCode.DEADLINE));
    }

    private void change(final Stage to) {
        assert to.ordinal() > stage.ordinal() : stage + " to " + to;
        stage = to;
    }

    @Override
    public ServiceLimits rule() {
        return rule;
    }

    private String tenantName() {
        return AdmissionController.nameOf(ask.tenant());
    }

    private boolean fits(final Upstream u) {
        return route.home(ask.tenant(), u.region())
                && !parts.configurationStore().configuration().holds().contains(u.zone());
    }

    @Override
    public void run(final byte[] whole) {
        if (stage != Stage.READING) {
            return;
        }
        body = whole;
        hold(whole.length + (long) ask.rule().answerMaxBytes());
        final ResultCode blocked = blocked();
        if (blocked != null) {
            give(blocked);
            return;
        }
        if (!reserve()) {
            give(ResultCode.NO_UPSTREAM);
            return;
        }
        if (claimManager == null) {
            change(Stage.GOING);
            attempt();
            return;
        }
        change(Stage.CLAIMING);
        claimManager.claim(
                RequestTicket.of(ask.head().requestId()),
                body,
                ask.deadlineMs() - parts.clock().nowMs(),
                () -> blocked() == null,
                this::claimed);
    }

    @Override
    public void drop(final ResultCode why) {
        if (stage == Stage.READING) {
            give(why);
        }
    }

    @Override
    public void gone() {
        clientGone = true;
        drop(ResultCode.MALFORMED);
        written();
    }

    @Override
    public void written() {
        out = true;
        if (stage == Stage.ENDED) {
            hold(0);
        }
    }

    /** Keeps the room that admission found, where no body is to come; else it is kept once the body is there, or slow
     * bodies would hold it. */
    void keep() {
        parts.loadBalancer().keep(ask.rule(), tenantName());
        holding = true;
        reserved = true;
    }

    private boolean reserve() {
        if (!holding && parts.loadBalancer().mayReserve(ask.rule(), tenantName(), this::fits)) {
            keep();
        }
        return holding;
    }

    private void release() {
        if (reserved) {
            reserved = false;
            parts.loadBalancer().release(ask.rule());
        }
    }

    private void hold(final long bytes) {
        if (bytes == heldBytes) {
            return;
        }
        edge.places().hold(tenantName(), bytes - heldBytes);
        heldBytes = bytes;
    }

    private void end(final Response answer) {
        if (stage == Stage.ENDED) {
            return;
        }
        change(Stage.ENDED);
        release();
        if (holding) {
            parts.loadBalancer().over(ask.rule(), tenantName());
        }
        hold(out || answer.content() == null ? 0 : answer.content().body().length);
        edge.ended(this, tenantName(), answer.result());
        body = null;
        done.accept(answer);
    }

    /** Ends it with what is known of it, as this node is going. */
    void giveUp() {
        if (stage != Stage.ENDED) {
            stopBefore(ResultCode.HELD);
        }
    }

    /** Ends it in spokestall's own words: proven not to have run only if this call sent nothing that may have, or may yet. */
    private void give(final ResultCode result) {
        final boolean before = RequestTicket.of(ask.head().requestId()) != null;
        end(edge.deny(
                result,
                claimManager != null || before || mayHaveRun || attempts.open() > 0
                        ? ExecutionStatus.UNDECIDED
                        : ExecutionStatus.NOT_RUN,
                attempts.begun()));
    }

    /** Whether the ask may still be sent: fresh, with its key, region, route and zone as they are now. */
    private ResultCode blocked() {
        if (stage == Stage.ENDED || clientGone || parts.clock().nowMs() >= ask.deadlineMs()) {
            return ResultCode.DEADLINE;
        }
        if (!parts.follower().fresh()) {
            return ResultCode.NOT_FRESH;
        }
        if (!parts.counter().mayBegin()) {
            return ResultCode.UNCOUNTED;
        }
        final Configuration configuration = parts.configurationStore().configuration();
        final Configuration.Found now =
                configuration.find(ask.head().host(), ask.target().path(), ask.keyHash());
        if (!(now.route() != null && now.route().open())
                && !AdmissionController.nameOf(now.tenant()).equals(tenantName())) {
            return ResultCode.BAD_KEY;
        }
        if (!edge.athome(now.tenant())) {
            return ResultCode.WRONG_REGION;
        }
        if (now.route() == null
                || now.route().runOnce() != ask.route().runOnce()
                || !follow(configuration, now.route())) {
            return ResultCode.NO_BINDING;
        }
        return edge.held(configuration) ? ResultCode.HELD : null;
    }

    /** The route may have been changed since the ask was let in; what is sent from now on goes by the new one. */
    private boolean follow(final Configuration configuration, final Route now) {
        if (!now.equals(route)) {
            route = now;
            if (!now.leadsTo(rule.name())) {
                rule = configuration.service(now.service(parts.random()));
            }
        }
        return rule != null;
    }

    private void claimed(final ClaimManager.Claimed how) {
        if (how instanceof ClaimManager.Claimed.Mine mine) {
            claim = mine.claim();
            if (stage == Stage.ENDED) {
                claimManager.voided(claim, proven -> {});
                return;
            }
            change(Stage.GOING);
            attempt();
        } else if (how instanceof ClaimManager.Claimed.Ran before) {
            edge.fetch(
                    ask.tenant(),
                    claimManager.key(),
                    before.claim().answerDigest(),
                    kept -> end(
                            kept != null
                                    ? new Response(
                                            ResultCode.REPEATED,
                                            ExecutionStatus.RAN,
                                            kept,
                                            before.claim().instance(),
                                            0,
                                            0)
                                    : new Response(
                                            ResultCode.RAN_ANSWER_GONE,
                                            ExecutionStatus.RAN,
                                            null,
                                            before.claim().instance(),
                                            0,
                                            0)));
        } else if (how instanceof ClaimManager.Claimed.Not not) {
            final ResultCode blocked = not.why() == ResultCode.UNCLEAR ? blocked() : null;
            give(blocked != null ? blocked : not.why());
        }
    }

    /** Nothing more is sent. Under a claim that was not used, that is said in its register first, then to the client. */
    private void stopBefore(final ResultCode why) {
        if (claim != null && !mayHaveRun) {
            claimManager.voided(
                    claim,
                    proven -> end(edge.deny(
                            why, proven ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNDECIDED, attempts.begun())));
        } else {
            give(why);
        }
    }

    private void attempt() {
        final ResultCode blocked = blocked();
        final Upstream to = blocked != null ? null : parts.loadBalancer().elect(rule, this::fits, tried);
        if (to == null) {
            if (attempts.open() == 0 && held != null) {
                end(held);
            } else if (attempts.open() == 0) {
                stopBefore(blocked != null ? blocked : mayHaveRun ? ResultCode.LOST : ResultCode.NO_UPSTREAM);
            }
            return;
        }
        if (attempts.begin()) {
            // Retries are a share of what upstreams were first asked, not of what was let in.
            edge.budget(rule).asked();
        }
        tried.add(to.instance());
        final RequestHead head = ask.head();
        final long waitMs =
                Math.min(rule.attemptMs(), ask.deadlineMs() - parts.clock().nowMs());
        final long begunMs = parts.clock().nowMs();
        parts.loadBalancer().begun(to.instance());
        release();
        if (route.aimMs() > 0 && !ask.route().runOnce()) {
            final int number = attempts.begun();
            parts.clock().after(Math.max(1, (long) (LATE * route.aimMs())), () -> late(to, number));
        }
        final LongSupplier until = () -> blocked() != null
                ? Long.MIN_VALUE
                : Math.min(ask.deadlineMs(), parts.follower().freshUntilMs());
        parts.upstreams()
                .attempt(
                        new Attempt(
                                head.requestId(),
                                ask.tenant() == null ? null : tenantName(),
                                to.instance(),
                                to.service(),
                                to.address(),
                                head.method(),
                                ask.target().raw(),
                                head.headers(),
                                body,
                                waitMs,
                                ask.rule().answerMaxBytes(),
                                !route.runOnce()),
                        until,
                        () -> counted(),
                        result -> went(to, result, begunMs));
    }

    /** An upstream that is silent for long may be gone. What may be repeated is asked of another one too, once and paid for,
     * and the first whole answer counts. */
    private void late(final Upstream silent, final int number) {
        if (stage == Stage.GOING && attempts.open() == 1 && attempts.begun() == number) {
            parts.loadBalancer().late(silent.instance());
            again();
        }
    }

    private void counted() {
        if (ask.tenant() != null) {
            parts.counter().begun(tenantName());
        }
    }

    private void went(final Upstream to, final AttemptResult result, final long begunMs) {
        attempts.ended(!(result instanceof AttemptResult.NotSent));
        mayHaveRun |= result instanceof AttemptResult.Whole || result instanceof AttemptResult.Lost;
        final boolean blockedHere =
                result instanceof AttemptResult.NotSent n && n.why().equals("barred");
        final long slowMs = route.aimMs() > 0 ? route.aimMs() : rule.attemptMs() / 4;
        parts.loadBalancer()
                .ended(
                        to.service(),
                        to.instance(),
                        blockedHere || result instanceof AttemptResult.Whole
                                ? LoadBalancer.End.WELL
                                : result instanceof AttemptResult.NotRun
                                        ? LoadBalancer.End.DENIED
                                        : result instanceof AttemptResult.NotSent
                                                ? LoadBalancer.End.UNREACHED
                                                : LoadBalancer.End.LOST,
                        parts.clock().nowMs() - begunMs,
                        slowMs);
        if (result instanceof AttemptResult.Whole whole) {
            whole(to, whole);
        } else {
            error(to, result);
        }
    }

    private void whole(final Upstream to, final AttemptResult.Whole whole) {
        final int status = whole.content().status();
        if (claim != null) {
            record(to, whole);
        }
        final Response answer =
                new Response(ResultCode.OK, ExecutionStatus.RAN, whole.content(), to.instance(), attempts.begun(), 0);
        final boolean poor = status == 502
                || status == 503
                || status >= 500 && edge.timing().conventions().any500();
        if (claim == null && poor && !ask.route().runOnce() && stage != Stage.ENDED) {
            held = answer;
            if (attempts.open() > 0 || again()) {
                return;
            }
        }
        end(answer);
    }

    private void error(final Upstream to, final AttemptResult result) {
        LOG.atFine().log(
                "event=trouble node=%s instance=%s ask=%s result=%s",
                parts.self().name(), to.instance(), ask.head().requestId(), result);
        if (stage == Stage.ENDED) {
            if (claim != null && !mayHaveRun) {
                claimManager.voided(claim, proven -> {});
            }
            return;
        }
        if (ask.route().runOnce() && mayHaveRun) {
            give(ResultCode.LOST);
            return;
        }
        if (attempts.open() > 0) {
            return;
        }
        if (held != null) {
            end(held);
            return;
        }
        final ResultCode blocked = blocked();
        if (blocked != null) {
            stopBefore(blocked);
        } else if (!again()) {
            stopBefore(mayHaveRun ? ResultCode.LOST : ResultCode.NO_UPSTREAM);
        }
    }

    private boolean again() {
        final int most = route.attemptsMax() > 0
                ? Math.min(route.attemptsMax(), edge.timing().attemptsMax())
                : edge.timing().attemptsMax();
        if (stage == Stage.ENDED || blocked() != null || !attempts.again(most, edge.budget(rule))) {
            return false;
        }
        attempt();
        return true;
    }

    /** The claim's end and the answer go to the store and to home cores; the client need not wait for it. */
    private void record(final Upstream to, final AttemptResult.Whole whole) {
        final HandoffMessage.Store keep = new HandoffMessage.Store(
                claimManager.key(), KeyHash.hex(MessageCodec.encodeRecord(whole.content())), whole.content());
        parts.responseCache().keep(keep);
        for (final String core : parts.homeCores().apply(ask.tenant().homeRegions())) {
            parts.post().send(core, keep);
        }
        claimManager.ran(claim, whole.content().status(), keep.digest(), to.instance());
    }
}
