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

/** A stand-in for an upstream: warms up slowly, records requests in a ledger, and misbehaves on demand. */
public final class UpstreamStandIn implements UpstreamInstance {
    /** How the upstream responds to requests. */
    public enum Behavior {
        WELL,
        LOSE,
        GARBAGE,
        TRUNCATE,
        SLOW,
        FLAKY
    }

    private static final HttpString INSTANCE = new HttpString("Spokestall-Instance");
    private static final HttpString REQUEST_ID = new HttpString("Spokestall-Ask-Id");
    private final Deployment.Place place;
    private final String address;
    private final Ledger ledger;
    private final long responseDelayMs;
    private final long readyAtMs;
    private final Undertow server;
    private volatile Behavior behavior = Behavior.WELL;
    private volatile boolean leaving;
    private volatile long serviceTimeMs;
    private long busyUntilMs;

    public UpstreamStandIn(
            final Deployment.Place place,
            final int port,
            final XnioWorker worker,
            final Ledger ledger,
            final long responseDelayMs,
            final long readyForMs) {
        this.place = place;
        this.address = "127.0.0.1:" + port;
        this.ledger = ledger;
        this.responseDelayMs = responseDelayMs;
        this.readyAtMs = System.currentTimeMillis() - readyForMs;
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

    public void startLeaving() {
        leaving = true;
    }

    /** Limits the upstream to one request at a time with this service time; 0 removes the limit. */
    public void setServiceTimeMs(final long ms) {
        serviceTimeMs = ms;
    }

    /** Reserves the next service time; returns the delay until it is over. */
    private synchronized long queueingDelayMs() {
        final long nowMs = System.currentTimeMillis();
        busyUntilMs = Math.max(busyUntilMs, nowMs) + serviceTimeMs;
        return busyUntilMs - nowMs;
    }

    public void setBehavior(final Behavior newBehavior) {
        behavior = newBehavior;
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
        final String requestId = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        exchange.getResponseHeaders().put(REQUEST_ID, requestId);
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
                                    () -> respond(e, requestId),
                                    queueingDelayMs()
                                            + (behavior == Behavior.SLOW ? 50 * responseDelayMs : responseDelayMs),
                                    TimeUnit.MILLISECONDS));
        });
    }

    private void respond(final HttpServerExchange e, final String requestId) {
        final Behavior current = behavior;
        if (current == Behavior.LOSE || current == Behavior.FLAKY && requestId.hashCode() % 2 == 0) {
            IoUtils.safeClose(e.getConnection());
            return;
        }
        if (current == Behavior.GARBAGE) {
            e.getResponseHeaders().put(REQUEST_ID, "garbage").put(INSTANCE, "garbage");
        }
        final byte[] out = ("{\"answerTo\":\"" + requestId + "\",\"by\":\"" + place.instance() + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        e.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        if (current == Behavior.TRUNCATE) {
            e.getResponseHeaders().put(Headers.CONTENT_LENGTH, out.length + 100);
            e.getResponseChannel();
            IoUtils.safeClose(e.getConnection());
            return;
        }
        e.getResponseSender().send(ByteBuffer.wrap(out));
    }
}
