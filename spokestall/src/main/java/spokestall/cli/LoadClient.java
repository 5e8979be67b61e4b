package spokestall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import spokestall.configuration.ConfigurationStore;
import spokestall.io.http.HttpCall;
import spokestall.io.http.HttpResult;

/**
 * Client of the load generator. For each request it looks up edges, sends the request to one of them, and retries until the
 * deadline if the request did not run or is idempotent.
 *
 * <p>Thread-safe; attempts run on the timer's threads and the HTTP client's I/O threads.
 */
final class LoadClient {
    private static final int ATTEMPTS_MAX = 5;
    private static final int RESPONSE_MAX_BYTES = 16 << 20;
    /** Time beyond the deadline to wait for a response, so that the edge's own time-out response still arrives. */
    private static final long DEADLINE_MARGIN_MS = 500;

    private static final long NO_EDGE_BACKOFF_MS = 300;
    private static final long BACKOFF_MS = 100;

    private final LoadOptions options;
    private final CommandHttpClient httpClient;
    private final EdgeLookup lookup;
    private final ScheduledExecutorService timer;
    private final LoadReport report;
    private final Queue<String> recorded = new ConcurrentLinkedQueue<>();

    /** Creates a client. The caller shuts the timer down; requests in flight then finish instead of retrying. */
    LoadClient(
            final LoadOptions options,
            final CommandHttpClient httpClient,
            final ScheduledExecutorService timer,
            final LoadReport report) {
        this.options = options;
        this.httpClient = httpClient;
        this.lookup = new EdgeLookup(httpClient, options.nodes());
        this.timer = timer;
        this.report = report;
    }

    /** Returns one line per response; empty unless {@code --record} is set. */
    Iterable<String> recorded() {
        return recorded;
    }

    /** Makes the current attempt of a request, and retries if it fails. Reports the final result. */
    void attempt(final LoadRequest request) {
        lookup.find(request, found -> {
            if (found.isPresent()) {
                send(request.withRequestId(found.get().ticket()), found.get());
            } else {
                retry(request, "nowhere", NO_EDGE_BACKOFF_MS);
            }
        });
    }

    private void send(final LoadRequest request, final EdgeLookup.Edges edges) {
        final long leftMs = options.deadlineMs() - (MonotonicTime.nowMs() - request.startedAtMs());
        if (leftMs <= 0) {
            finish(request, "out-of-time", null);
            return;
        }
        final String edge =
                edges.addresses().get(request.attempt() % edges.addresses().size());
        final Map<String, String> headers = new TreeMap<>();
        headers.put("Spokestall-Key", request.kind().key());
        headers.put("Spokestall-Ask-Id", request.requestId());
        headers.put("Spokestall-Deadline-Ms", Long.toString(leftMs));
        final boolean runOnce = request.kind().runOnce();
        final String body = runOnce ? "{\"do\":\"" + request.runUniqueId() + "\"}" : "";
        httpClient.send(
                HttpCall.withoutGate(
                        edge,
                        runOnce ? "POST" : "GET",
                        request.kind().path(),
                        headers,
                        body.getBytes(StandardCharsets.UTF_8),
                        leftMs + DEADLINE_MARGIN_MS,
                        RESPONSE_MAX_BYTES),
                result -> onResult(request, edge, result));
    }

    private void onResult(final LoadRequest request, final String edge, final HttpResult result) {
        if (result instanceof HttpResult.Complete response) {
            onResponse(request, edge, response);
        } else if (result instanceof HttpResult.NotSent || !request.kind().runOnce()) {
            lookup.invalidate(request);
            retry(request, "unreached", BACKOFF_MS);
        } else {
            finish(request, "no-answer", edge);
        }
    }

    private void onResponse(final LoadRequest request, final String edge, final HttpResult.Complete response) {
        final String outcome = response.header("Spokestall-Outcome");
        final String code = response.header("Spokestall-Code");
        if (options.record() != null) {
            recorded.add(request.requestId() + " " + outcome + " " + code + " " + System.currentTimeMillis());
        }
        if ("ran".equals(outcome)) {
            finish(request, resultOf(request, response), edge);
            return;
        }
        lookup.invalidate(request);
        if ("not-run".equals(outcome) || !request.kind().runOnce()) {
            final String retryAfterS = response.header("Retry-After");
            final long waitMs =
                    retryAfterS == null ? BACKOFF_MS : TimeUnit.SECONDS.toMillis(Long.parseLong(retryAfterS));
            retry(request, outcome + "-" + code, waitMs);
        } else {
            finish(request, outcome + "-" + code, edge);
        }
    }

    private String resultOf(final LoadRequest request, final HttpResult.Complete response) {
        if (options.echo() && response.status() == 200 && !echoes(response.body(), request.requestId())) {
            return LoadReport.WRONG_ANSWER;
        }
        return response.status() < 500 ? LoadReport.RAN : LoadReport.RAN + "-" + response.status();
    }

    private static boolean echoes(final byte[] body, final String requestId) {
        try {
            final JsonNode read = ConfigurationStore.JSON.readTree(body);
            return read != null && read.path("answerTo").asText().equals(requestId);
        } catch (final IOException e) {
            // A body that is not JSON doesn't contain the request's id.
            return false;
        }
    }

    private void retry(final LoadRequest request, final String reason, final long waitMs) {
        final boolean inTime = MonotonicTime.nowMs() + waitMs - request.startedAtMs() < options.deadlineMs();
        if (request.attempt() + 1 >= ATTEMPTS_MAX || !inTime || timer.isShutdown()) {
            finish(request, reason, null);
            return;
        }
        report.onRetry();
        final ScheduledFuture<?> unused =
                timer.schedule(() -> attempt(request.nextAttempt()), waitMs, TimeUnit.MILLISECONDS);
    }

    private void finish(final LoadRequest request, final String result, final String edge) {
        report.onFinished(result, edge, MonotonicTime.nowMs() - request.startedAtMs());
    }
}
