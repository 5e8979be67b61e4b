package spokestall.io.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import spokestall.configuration.ConfigurationStore;
import spokestall.discovery.DiscoveryClient;
import spokestall.discovery.ListedEndpoint;
import spokestall.discovery.ProbeResult;
import spokestall.io.http.HttpCall;
import spokestall.io.http.HttpClient;
import spokestall.io.http.HttpResult;
import spokestall.io.http.SendGate;
import spokestall.proxy.Attempt;
import spokestall.proxy.AttemptHandle;
import spokestall.proxy.AttemptResult;
import spokestall.proxy.UpstreamClient;
import spokestall.usage.ReportCall;
import spokestall.usage.ReportCallback;
import spokestall.usage.ReportPermit;
import spokestall.usage.SendDeadline;
import spokestall.usage.UsageReportClient;

/**
 * Sends attempts, probes, endpoint list requests and usage reports over HTTP, in the format of an {@link UpstreamProtocol} and a
 * {@link PlatformProtocol}. Callbacks run on the event loop.
 */
public final class HttpUpstreamClient implements UpstreamClient, DiscoveryClient, UsageReportClient {
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final int MAX_PAGES = 1000;
    private final HttpClient client;
    private final Executor eventLoop;
    private final String platformAddress;
    private final UpstreamProtocol upstream;
    private final PlatformProtocol platform;
    private final long connectTimeoutMs;

    /** Creates a client of upstreams and of the platform at {@code platformAddress}. */
    public HttpUpstreamClient(
            final HttpClient client,
            final Executor eventLoop,
            final String platformAddress,
            final UpstreamProtocol upstream,
            final PlatformProtocol platform,
            final long connectTimeoutMs) {
        this.client = client;
        this.eventLoop = eventLoop;
        this.platformAddress = platformAddress;
        this.upstream = upstream;
        this.platform = platform;
        this.connectTimeoutMs = connectTimeoutMs;
    }

    @Override
    public AttemptHandle attempt(
            final Attempt attempt,
            final LongSupplier sendDeadline,
            final Runnable onSent,
            final Consumer<AttemptResult> done) {
        final HttpClient.Cancellation exchange = client.execute(
                new HttpCall(
                        attempt.address(),
                        attempt.instance(),
                        attempt.method(),
                        attempt.target(),
                        upstream.headers(attempt),
                        attempt.body(),
                        attempt.timeoutMillis(),
                        connectTimeoutMs,
                        attempt.responseMaxBytes(),
                        false,
                        attempt.idempotent(),
                        new SendGate(eventLoop, sendDeadline, false, transmission -> eventLoop.execute(onSent))),
                result -> {
                    final AttemptResult attemptResult = interpret(attempt, result);
                    eventLoop.execute(() -> done.accept(attemptResult));
                    return !(attemptResult instanceof AttemptResult.Lost);
                });
        return exchange::cancel;
    }

    private AttemptResult interpret(final Attempt attempt, final HttpResult result) {
        if (result instanceof HttpResult.NotSent n) {
            return new AttemptResult.NotSent(n.reason());
        }
        return result instanceof HttpResult.Lost l
                ? new AttemptResult.Lost(l.reason())
                : upstream.interpret(attempt, (HttpResult.Complete) result);
    }

    /**
     * Gets a JSON document; {@code done} receives null if there is none.
     *
     * @param freshConnection whether to open a new connection, since the instance that had the address before may be gone while
     *     connections to it are still open
     */
    private void getJson(
            final String address,
            final String target,
            final long timeoutMillis,
            final boolean freshConnection,
            final Consumer<JsonNode> done) {
        client.call(
                new HttpCall(
                        address,
                        HttpCall.ANY_INSTANCE,
                        "GET",
                        target,
                        List.of(),
                        new byte[0],
                        timeoutMillis,
                        timeoutMillis,
                        MAX_RESPONSE_BYTES,
                        freshConnection,
                        true,
                        SendGate.OPEN),
                result -> {
                    JsonNode parsed = null;
                    if (result instanceof HttpResult.Complete response && response.status() == 200) {
                        try {
                            parsed = ConfigurationStore.JSON.readTree(response.body());
                        } catch (final IOException e) {
                            parsed = null;
                        }
                    }
                    final JsonNode tree = parsed;
                    eventLoop.execute(() -> done.accept(tree));
                });
    }

    @Override
    public void listEndpoints(final long timeoutMillis, final Consumer<Optional<List<ListedEndpoint>>> done) {
        fetchPage(platform.listTarget(), timeoutMillis, new ArrayList<>(), 1, done);
    }

    private void fetchPage(
            final String target,
            final long timeoutMillis,
            final List<ListedEndpoint> endpoints,
            final int pageNumber,
            final Consumer<Optional<List<ListedEndpoint>>> done) {
        getJson(platformAddress, target, timeoutMillis, false, tree -> {
            final PlatformProtocol.Page page = tree == null ? null : platform.parsePage(tree);
            if (page == null || pageNumber > MAX_PAGES) {
                done.accept(Optional.empty());
                return;
            }
            endpoints.addAll(page.endpoints());
            if (page.nextTarget() == null) {
                done.accept(Optional.of(endpoints));
            } else {
                fetchPage(page.nextTarget(), timeoutMillis, endpoints, pageNumber + 1, done);
            }
        });
    }

    @Override
    public void probe(final String address, final long timeoutMillis, final Consumer<Optional<ProbeResult>> done) {
        getJson(
                address,
                platform.statusTarget(),
                timeoutMillis,
                true,
                tree -> done.accept(Optional.ofNullable(tree).map(platform::parseStatus)));
    }

    @Override
    public void report(
            final ReportCall call,
            final SendDeadline deadline,
            final ReportPermit permit,
            final ReportCallback callback) {
        new ReportExchange(client, eventLoop, platformAddress, platform, call, permit, callback).start(deadline);
    }
}
