package spokestall.testbed.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.xnio.XnioWorker;
import spokestall.testbed.verdict.Ledger;

/** A stand-in for the platform: lists upstreams with some delay, and records usage reports without validating their content. */
public final class PlatformStandIn {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final Ledger ledger;
    private final Supplier<Collection<UpstreamInstance>> upstreams;
    private final long listRefreshMs;
    private final Undertow server;
    private String endpointList = "{\"upstreams\":[]}";
    private long listRefreshedAtMs;

    public PlatformStandIn(
            final int port,
            final XnioWorker worker,
            final Ledger ledger,
            final Supplier<Collection<UpstreamInstance>> upstreams,
            final long listRefreshMs) {
        this.ledger = ledger;
        this.upstreams = upstreams;
        this.listRefreshMs = listRefreshMs;
        this.server = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(port, "127.0.0.1")
                .setHandler(this::handle)
                .build();
    }

    public void start() {
        server.start();
    }

    public void stop() {
        server.stop();
    }

    private synchronized String endpointList() {
        final long nowMs = System.currentTimeMillis();
        if (nowMs - listRefreshedAtMs >= listRefreshMs) {
            listRefreshedAtMs = nowMs;
            final ObjectNode out = JSON.createObjectNode();
            final ArrayNode all = out.putArray("upstreams");
            for (final UpstreamInstance u : upstreams.get()) {
                all.addObject()
                        .put("instance", u.place().instance())
                        .put("service", u.place().service())
                        .put("address", u.address())
                        .put("district", u.place().zone())
                        .put("region", u.place().region())
                        .put("leaving", u.leaving());
            }
            endpointList = out.toString();
        }
        return endpointList;
    }

    private void handle(final HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/upstreams")) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender().send(endpointList());
        } else if (exchange.getRequestPath().equals("/usage")) {
            exchange.getRequestReceiver().receiveFullBytes((e, body) -> acceptReport(e, body));
        } else {
            exchange.setStatusCode(404).endExchange();
        }
    }

    private void acceptReport(final HttpServerExchange e, final byte[] body) {
        try {
            final JsonNode in = JSON.readTree(body);
            final Map<String, Long> counts = new TreeMap<>();
            in.path("counts")
                    .fields()
                    .forEachRemaining(c -> counts.put(c.getKey(), c.getValue().asLong()));
            ledger.reported(new Ledger.Reported(
                    e.getRequestHeaders().getFirst("Spokestall-Duty-Holder"),
                    Long.parseLong(e.getRequestHeaders().getFirst("Spokestall-Fence-Token")),
                    in.path("window").asLong(),
                    counts,
                    System.currentTimeMillis()));
            e.setStatusCode(204).endExchange();
        } catch (final IOException | NumberFormatException bad) {
            e.setStatusCode(400).endExchange();
        }
    }
}
