package spokestall.rim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import spokestall.duty.Reporter;
import spokestall.duty.Sealed;
import spokestall.edge.Go;
import spokestall.edge.GoResult;
import spokestall.edge.Upstreams;
import spokestall.listing.Listed;
import spokestall.listing.Prober;
import spokestall.policy.Book;
import spokestall.wire.Content;
import spokestall.wire.Header;

/** Upstreams and the platform over HTTP; docs/protocols.md says what goes over these wires. */
public final class Outside implements Upstreams, Prober.Reach, Reporter.Platform {
    private static final int LIST_MAX = 4 << 20;
    private final HttpClient client;
    private final Executor stage;
    private final String platform;

    /** Example: {@code new Outside(client, stage, "127.0.0.1:7900")} */
    public Outside(final HttpClient client, final Executor stage, final String platform) {
        this.client = client;
        this.stage = stage;
        this.platform = platform;
    }

    @Override
    public void go(final Go go, final LongSupplier until, final Runnable sent, final Consumer<GoResult> done) {
        final List<Header> headers = new ArrayList<>(go.headers());
        headers.add(new Header("Spokestall-Ask-Id", go.askId()));
        headers.add(new Header("Spokestall-Tenant", go.tenant()));
        headers.add(new Header("Spokestall-Service", go.service()));
        headers.add(new Header("Spokestall-Instance", go.instance()));
        headers.add(new Header("Spokestall-Deadline-Ms", Long.toString(go.waitMs())));
        client.call(new HttpCall(go.address(), go.method(), go.target(), headers, go.body(), go.waitMs(),
                go.answerMaxBytes(), false, stage, until, () -> stage.execute(sent)), result -> {
                    final GoResult judged = judge(go, result);
                    stage.execute(() -> done.accept(judged));
                });
    }

    /** An answer counts only if the upstream says it is that instance's answer to that ask. */
    private static GoResult judge(final Go go, final HttpResult result) {
        if (result instanceof HttpResult.NotSent n) {
            return new GoResult.NotSent(n.why());
        }
        if (result instanceof HttpResult.Lost l) {
            return new GoResult.Lost(l.why());
        }
        final HttpResult.Whole whole = (HttpResult.Whole) result;
        if (!go.askId().equals(whole.header("Spokestall-Ask-Id"))) {
            return new GoResult.Lost("answer to another ask");
        }
        if (whole.status() == 421 && "not-run".equals(whole.header("Spokestall-Outcome"))) {
            return new GoResult.NotRun("not the instance that was meant");
        }
        if (!go.instance().equals(whole.header("Spokestall-Instance"))) {
            return new GoResult.Lost("answer of another instance");
        }
        if ("not-run".equals(whole.header("Spokestall-Outcome"))) {
            return new GoResult.NotRun("status " + whole.status());
        }
        final List<Header> headers = Fields.endToEnd(whole.headers());
        if (go.method().equals("HEAD") && whole.header("Content-Length") != null) {
            headers.add(new Header("Content-Length", whole.header("Content-Length")));
        }
        return new GoResult.Whole(new Content(whole.status(), headers, whole.body()));
    }

    /** On a wire of its own: whoever answered there before may be gone, and its old wires still open. */
    private void get(final String address, final String target, final long waitMs, final Consumer<JsonNode> done) {
        client.call(new HttpCall(address, "GET", target, List.of(), new byte[0], waitMs, LIST_MAX, true, Runnable::run,
                () -> Long.MAX_VALUE, () -> { }), result -> {
                    JsonNode found = null;
                    if (result instanceof HttpResult.Whole whole && whole.status() == 200) {
                        try {
                            found = Book.JSON.readTree(whole.body());
                        } catch (final IOException e) {
                            found = null;
                        }
                    }
                    final JsonNode tree = found;
                    stage.execute(() -> done.accept(tree));
                });
    }

    @Override
    public void list(final long waitMs, final Consumer<List<Listed>> done) {
        get(platform, "/upstreams", waitMs, tree -> {
            if (tree == null || !tree.path("upstreams").isArray()) {
                done.accept(null);
                return;
            }
            final List<Listed> found = new ArrayList<>();
            for (final JsonNode u : tree.path("upstreams")) {
                final String address = u.path("address").asText();
                if (address.matches("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}") && !u.path("instance").asText().isEmpty()) {
                    found.add(Listed.read(u.path("instance").asText(), u.path("service").asText(), address,
                            u.path("district").asText(), u.path("region").asText(),
                            u.path("leaving").asBoolean(false), u.path("coldForMs").asLong(-1)));
                }
            }
            done.accept(found);
        });
    }

    @Override
    public void probe(final String address, final long waitMs, final Consumer<Prober.Probe> done) {
        get(address, "/spokestall/status", waitMs, tree -> done.accept(tree == null || !tree.has("instance") ? null
                : new Prober.Probe(tree.path("instance").asText(), tree.path("service").asText(),
                tree.path("leaving").asBoolean(false), tree.path("readyForMs").asLong(0))));
    }

    @Override
    public void report(final String holder, final long token, final Sealed sealed, final long waitMs,
            final LongSupplier until, final Consumer<Boolean> done) {
        final ObjectNode out = Book.JSON.createObjectNode().put("window", sealed.window());
        final ObjectNode counts = out.putObject("counts");
        sealed.counts().forEach(counts::put);
        client.call(new HttpCall(platform, "POST", "/usage", HttpCall.list(Map.of("Spokestall-Duty-Holder", holder,
                "Spokestall-Fence-Token", Long.toString(token), "Content-Type", "application/json")),
                out.toString().getBytes(StandardCharsets.UTF_8), waitMs, LIST_MAX, true, stage, until, () -> { }), result -> {
                    final boolean ok = result instanceof HttpResult.Whole whole && whole.status() / 100 == 2;
                    stage.execute(() -> done.accept(ok));
                });
    }
}
