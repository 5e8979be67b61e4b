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
            Route binding,
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
    private final ClaimManager desk;
    private Stage stage = Stage.READING;
    private byte[] body;
    private IdempotencyClaim claim;
    private final AttemptBudget goes;
    private boolean mayHaveRun;
    private Response held;
    private boolean callerGone;
    private boolean out;
    private boolean holding;
    private boolean reserved;
    private long heldBytes;
    private ServiceLimits rule;
    private Route binding;

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
        this.binding = ask.binding();
        this.goes = new AttemptBudget(edge.pace().habits().unsentFree());
        this.desk = ask.binding().runOnce() && edge.pace().habits().claims()
                ? new ClaimManager(
                        parts,
                        edge.pace(),
                        IdempotencyClaim.key(ask.tenant().name(), ask.head().askId()))
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
        return binding.home(ask.tenant(), u.region())
                && !parts.book().policy().holds().contains(u.district());
    }

    @Override
    public void run(final byte[] whole) {
        if (stage != Stage.READING) {
            return;
        }
        body = whole;
        hold(whole.length + (long) ask.rule().answerMaxBytes());
        final ResultCode barred = barred();
        if (barred != null) {
            give(barred);
            return;
        }
        if (!reserve()) {
            give(ResultCode.NO_UPSTREAM);
            return;
        }
        if (desk == null) {
            change(Stage.GOING);
            go();
            return;
        }
        change(Stage.CLAIMING);
        desk.claim(
                RequestTicket.of(ask.head().askId()),
                body,
                ask.deadlineMs() - parts.clock().nowMs(),
                () -> barred() == null,
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
        callerGone = true;
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
        parts.elector().keep(ask.rule(), tenantName());
        holding = true;
        reserved = true;
    }

    private boolean reserve() {
        if (!holding && parts.elector().mayReserve(ask.rule(), tenantName(), this::fits)) {
            keep();
        }
        return holding;
    }

    private void release() {
        if (reserved) {
            reserved = false;
            parts.elector().release(ask.rule());
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
            parts.elector().over(ask.rule(), tenantName());
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
        final boolean before = RequestTicket.of(ask.head().askId()) != null;
        end(edge.deny(
                result,
                desk != null || before || mayHaveRun || goes.open() > 0
                        ? ExecutionStatus.UNDECIDED
                        : ExecutionStatus.NOT_RUN,
                goes.begun()));
    }

    /** Whether the ask may still be sent: fresh, with its key, region, binding and district as they are now. */
    private ResultCode barred() {
        if (stage == Stage.ENDED || callerGone || parts.clock().nowMs() >= ask.deadlineMs()) {
            return ResultCode.DEADLINE;
        }
        if (!parts.follower().fresh()) {
            return ResultCode.NOT_FRESH;
        }
        if (!parts.counter().mayBegin()) {
            return ResultCode.UNCOUNTED;
        }
        final Configuration policy = parts.book().policy();
        final Configuration.Found now =
                policy.find(ask.head().host(), ask.target().path(), ask.keyHash());
        if (!(now.binding() != null && now.binding().open())
                && !AdmissionController.nameOf(now.tenant()).equals(tenantName())) {
            return ResultCode.BAD_KEY;
        }
        if (!edge.athome(now.tenant())) {
            return ResultCode.WRONG_REGION;
        }
        if (now.binding() == null
                || now.binding().runOnce() != ask.binding().runOnce()
                || !follow(policy, now.binding())) {
            return ResultCode.NO_BINDING;
        }
        return edge.held(policy) ? ResultCode.HELD : null;
    }

    /** The binding may have been changed since the ask was let in; what is sent from now on goes by the new one. */
    private boolean follow(final Configuration policy, final Route now) {
        if (!now.equals(binding)) {
            binding = now;
            if (!now.leadsTo(rule.name())) {
                rule = policy.service(now.service(parts.random()));
            }
        }
        return rule != null;
    }

    private void claimed(final ClaimManager.Claimed how) {
        if (how instanceof ClaimManager.Claimed.Mine mine) {
            claim = mine.claim();
            if (stage == Stage.ENDED) {
                desk.voided(claim, proven -> {});
                return;
            }
            change(Stage.GOING);
            go();
        } else if (how instanceof ClaimManager.Claimed.Ran before) {
            edge.fetch(
                    ask.tenant(),
                    desk.key(),
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
            final ResultCode barred = not.why() == ResultCode.UNCLEAR ? barred() : null;
            give(barred != null ? barred : not.why());
        }
    }

    /** Nothing more is sent. Under a claim that was not used, that is said in its register first, then to the caller. */
    private void stopBefore(final ResultCode why) {
        if (claim != null && !mayHaveRun) {
            desk.voided(
                    claim,
                    proven -> end(edge.deny(
                            why, proven ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNDECIDED, goes.begun())));
        } else {
            give(why);
        }
    }

    private void go() {
        final ResultCode barred = barred();
        final Upstream to = barred != null ? null : parts.elector().elect(rule, this::fits, tried);
        if (to == null) {
            if (goes.open() == 0 && held != null) {
                end(held);
            } else if (goes.open() == 0) {
                stopBefore(barred != null ? barred : mayHaveRun ? ResultCode.LOST : ResultCode.NO_UPSTREAM);
            }
            return;
        }
        if (goes.begin()) {
            // Retries are a share of what upstreams were first asked, not of what was let in.
            edge.budget(rule).asked();
        }
        tried.add(to.instance());
        final RequestHead head = ask.head();
        final long waitMs =
                Math.min(rule.goMs(), ask.deadlineMs() - parts.clock().nowMs());
        final long begunMs = parts.clock().nowMs();
        parts.elector().begun(to.instance());
        release();
        if (binding.aimMs() > 0 && !ask.binding().runOnce()) {
            final int number = goes.begun();
            parts.clock().after(Math.max(1, (long) (LATE * binding.aimMs())), () -> late(to, number));
        }
        final LongSupplier until = () -> barred() != null
                ? Long.MIN_VALUE
                : Math.min(ask.deadlineMs(), parts.follower().freshUntilMs());
        parts.upstreams()
                .go(
                        new Attempt(
                                head.askId(),
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
                                !binding.runOnce()),
                        until,
                        () -> counted(),
                        result -> went(to, result, begunMs));
    }

    /** An upstream that is silent for long may be gone. What may be repeated is asked of another one too, once and paid for,
     * and the first whole answer counts. */
    private void late(final Upstream silent, final int number) {
        if (stage == Stage.GOING && goes.open() == 1 && goes.begun() == number) {
            parts.elector().late(silent.instance());
            again();
        }
    }

    private void counted() {
        if (ask.tenant() != null) {
            parts.counter().begun(tenantName());
        }
    }

    private void went(final Upstream to, final AttemptResult result, final long begunMs) {
        goes.ended(!(result instanceof AttemptResult.NotSent));
        mayHaveRun |= result instanceof AttemptResult.Whole || result instanceof AttemptResult.Lost;
        final boolean barredHere =
                result instanceof AttemptResult.NotSent n && n.why().equals("barred");
        final long slowMs = binding.aimMs() > 0 ? binding.aimMs() : rule.goMs() / 4;
        parts.elector()
                .ended(
                        to.service(),
                        to.instance(),
                        barredHere || result instanceof AttemptResult.Whole
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
            trouble(to, result);
        }
    }

    private void whole(final Upstream to, final AttemptResult.Whole whole) {
        final int status = whole.content().status();
        if (claim != null) {
            record(to, whole);
        }
        final Response answer =
                new Response(ResultCode.OK, ExecutionStatus.RAN, whole.content(), to.instance(), goes.begun(), 0);
        final boolean poor = status == 502
                || status == 503
                || status >= 500 && edge.pace().habits().any500();
        if (claim == null && poor && !ask.binding().runOnce() && stage != Stage.ENDED) {
            held = answer;
            if (goes.open() > 0 || again()) {
                return;
            }
        }
        end(answer);
    }

    private void trouble(final Upstream to, final AttemptResult result) {
        LOG.atFine().log(
                "event=trouble node=%s instance=%s ask=%s result=%s",
                parts.self().name(), to.instance(), ask.head().askId(), result);
        if (stage == Stage.ENDED) {
            if (claim != null && !mayHaveRun) {
                desk.voided(claim, proven -> {});
            }
            return;
        }
        if (ask.binding().runOnce() && mayHaveRun) {
            give(ResultCode.LOST);
            return;
        }
        if (goes.open() > 0) {
            return;
        }
        if (held != null) {
            end(held);
            return;
        }
        final ResultCode barred = barred();
        if (barred != null) {
            stopBefore(barred);
        } else if (!again()) {
            stopBefore(mayHaveRun ? ResultCode.LOST : ResultCode.NO_UPSTREAM);
        }
    }

    private boolean again() {
        final int most = binding.goesMax() > 0
                ? Math.min(binding.goesMax(), edge.pace().goesMax())
                : edge.pace().goesMax();
        if (stage == Stage.ENDED || barred() != null || !goes.again(most, edge.budget(rule))) {
            return false;
        }
        go();
        return true;
    }

    /** The claim's end and the answer go to the store and to home cores; the caller need not wait for it. */
    private void record(final Upstream to, final AttemptResult.Whole whole) {
        final HandoffMessage.Keep keep =
                new HandoffMessage.Keep(desk.key(), KeyHash.hex(MessageCodec.bytes(whole.content())), whole.content());
        parts.shelf().keep(keep);
        for (final String core : parts.homeCores().apply(ask.tenant().homeRegions())) {
            parts.post().send(core, keep);
        }
        desk.ran(claim, whole.content().status(), keep.digest(), to.instance());
    }
}
