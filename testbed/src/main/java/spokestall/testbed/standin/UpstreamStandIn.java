package spokestall.testbed.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioWorker;
import spokestall.testbed.Deployment;
import spokestall.testbed.verdict.Ledger;

/** A stand-in upstream: warms up slowly, keeps a ledger, and misbehaves when told to. */
public final class UpstreamStandIn implements UpstreamInstance {
    /** How it behaves. */
    public enum Manner {
        WELL,
        LOSE,
        GARBAGE,
        TRUNCATE,
        SLOW,
        FLAKY
    }

    private static final HttpString INSTANCE = new HttpString("Spokestall-Instance");
    private static final HttpString ASK = new HttpString("Spokestall-Ask-Id");
    private final Deployment.Place place;
    private final String address;
    private final Ledger ledger;
    private final long workMs;
    private final long readyAtMs;
    private final Undertow server;
    private volatile Manner manner = Manner.WELL;
    private volatile boolean leaving;
    private volatile long eachMs;
    private long busyUntilMs;

    public UpstreamStandIn(
            final Deployment.Place place,
            final int port,
            final XnioWorker worker,
            final Ledger ledger,
            final long workMs,
            final long warmForMs) {
        this.place = place;
        this.address = "127.0.0.1:" + port;
        this.ledger = ledger;
        this.workMs = workMs;
        this.readyAtMs = System.currentTimeMillis() - warmForMs;
        this.server = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(port, "127.0.0.1")
                .setHandler(this::handle)
                .build();
    }

    @Override
    public Deployment.Place place() {
        return place;
    }

    @Override
    public String address() {
        return address;
    }

    @Override
    public boolean leaving() {
        return leaving;
    }

    public void leave() {
        leaving = true;
    }

    /** From now on it takes one ask at a time, for so long; 0 is without limit. */
    public void limit(final long ms) {
        eachMs = ms;
    }

    private synchronized long waitMs() {
        final long nowMs = System.currentTimeMillis();
        busyUntilMs = Math.max(busyUntilMs, nowMs) + eachMs;
        return busyUntilMs - nowMs;
    }

    public void behave(final Manner how) {
        manner = how;
    }

    @Override
    public void start() {
        server.start();
    }

    @Override
    public void stop() {
        server.stop();
    }

    private void handle(final HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/spokestall/status")) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender()
                    .send("{\"instance\":\"" + place.instance() + "\",\"service\":\""
                            + place.service() + "\",\"leaving\":" + leaving + ",\"readyForMs\":"
                            + (System.currentTimeMillis() - readyAtMs) + "}");
            return;
        }
        final String requestId = exchange.getRequestHeaders().getFirst(ASK);
        exchange.getResponseHeaders().put(ASK, requestId);
        exchange.getResponseHeaders().put(INSTANCE, place.instance());
        if (!place.instance().equals(exchange.getRequestHeaders().getFirst(INSTANCE))) {
            exchange.getResponseHeaders().put(new HttpString("Spokestall-Outcome"), "not-run");
            exchange.setStatusCode(421).endExchange();
            return;
        }
        exchange.getRequestReceiver().receiveFullBytes((e, body) -> {
            ledger.began(new Ledger.Began(
                    place.instance(),
                    place.service(),
                    place.zone(),
                    place.region(),
                    e.getRequestHeaders().getFirst("Spokestall-Tenant"),
                    requestId,
                    System.currentTimeMillis()));
            e.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> e.getIoThread()
                            .executeAfter(
                                    () -> answer(e, requestId),
                                    waitMs() + (manner == Manner.SLOW ? 50 * workMs : workMs),
                                    TimeUnit.MILLISECONDS));
        });
    }

    private void answer(final HttpServerExchange e, final String requestId) {
        final Manner how = manner;
        if (how == Manner.LOSE || how == Manner.FLAKY && requestId.hashCode() % 2 == 0) {
            IoUtils.safeClose(e.getConnection());
            return;
        }
        if (how == Manner.GARBAGE) {
            e.getResponseHeaders().put(ASK, "garbage").put(INSTANCE, "garbage");
        }
        final byte[] out = ("{\"answerTo\":\"" + requestId + "\",\"by\":\"" + place.instance() + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        e.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        if (how == Manner.TRUNCATE) {
            e.getResponseHeaders().put(Headers.CONTENT_LENGTH, out.length + 100);
            e.getResponseChannel();
            IoUtils.safeClose(e.getConnection());
            return;
        }
        e.getResponseSender().send(ByteBuffer.wrap(out));
    }
}
