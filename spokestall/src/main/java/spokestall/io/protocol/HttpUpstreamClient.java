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
import spokestall.proxy.Attempt;
import spokestall.proxy.AttemptHandle;
import spokestall.proxy.AttemptResult;
import spokestall.proxy.UpstreamClient;
import spokestall.usage.ReportCallback;
import spokestall.usage.ReportResult;
import spokestall.usage.SealedWindow;
import spokestall.usage.SendDeadline;
import spokestall.usage.UsageReportClient;

/** Upstreams and the platform over HTTP, in whichever speech. */
public final class HttpUpstreamClient implements UpstreamClient, DiscoveryClient, UsageReportClient {
    private static final int LIST_MAX = 4 << 20;
    private static final int PAGES_MAX = 1000;
    private final HttpClient client;
    private final Executor stage;
    private final String address;
    private final UpstreamProtocol attempts;
    private final PlatformProtocol platform;
    private final long connectMs;

    /** {@code address} is the platform's. */
    public HttpUpstreamClient(
            final HttpClient client,
            final Executor stage,
            final String address,
            final UpstreamProtocol attempts,
            final PlatformProtocol platform,
            final long connectMs) {
        this.client = client;
        this.stage = stage;
        this.address = address;
        this.attempts = attempts;
        this.platform = platform;
        this.connectMs = connectMs;
    }

    @Override
    public AttemptHandle attempt(
            final Attempt attempt, final LongSupplier until, final Runnable sent, final Consumer<AttemptResult> done) {
        final HttpClient.Cancellation exchange = client.judged(
                new HttpCall(
                        attempt.address(),
                        attempt.instance(),
                        attempt.method(),
                        attempt.target(),
                        attempts.headers(attempt),
                        attempt.body(),
                        attempt.timeoutMs(),
                        connectMs,
                        attempt.responseMaxBytes(),
                        false,
                        attempt.idempotent(),
                        stage,
                        until,
                        () -> stage.execute(sent)),
                result -> {
                    final AttemptResult judged = judge(attempt, result);
                    stage.execute(() -> done.accept(judged));
                    return !(judged instanceof AttemptResult.Lost);
                });
        return exchange::cancel;
    }

    private AttemptResult judge(final Attempt attempt, final HttpResult result) {
        if (result instanceof HttpResult.NotSent n) {
            return new AttemptResult.NotSent(n.why());
        }
        return result instanceof HttpResult.Lost l
                ? new AttemptResult.Lost(l.why())
                : attempts.judge(attempt, (HttpResult.Whole) result);
    }

    /** On a wire of its own: whoever answered there before may be gone, and its old wires still open. */
    private void get(
            final String at,
            final String target,
            final long waitMs,
            final boolean freshConnection,
            final Consumer<JsonNode> done) {
        client.call(
                new HttpCall(
                        at,
                        HttpCall.ANY_INSTANCE,
                        "GET",
                        target,
                        List.of(),
                        new byte[0],
                        waitMs,
                        waitMs,
                        LIST_MAX,
                        freshConnection,
                        true,
                        Runnable::run,
                        () -> Long.MAX_VALUE,
                        () -> {}),
                result -> {
                    JsonNode found = null;
                    if (result instanceof HttpResult.Whole whole && whole.status() == 200) {
                        try {
                            found = ConfigurationStore.JSON.readTree(whole.body());
                        } catch (final IOException e) {
                            found = null;
                        }
                    }
                    final JsonNode tree = found;
                    stage.execute(() -> done.accept(tree));
                });
    }

    @Override
    public void listEndpoints(final long timeoutMillis, final Consumer<Optional<List<ListedEndpoint>>> done) {
        page(platform.listTarget(), timeoutMillis, new ArrayList<>(), 1, done);
    }

    private void page(
            final String target,
            final long waitMs,
            final List<ListedEndpoint> before,
            final int pages,
            final Consumer<Optional<List<ListedEndpoint>>> done) {
        get(address, target, waitMs, false, tree -> {
            final PlatformProtocol.Page page = tree == null ? null : platform.page(tree);
            if (page == null || pages > PAGES_MAX) {
                done.accept(Optional.empty());
                return;
            }
            before.addAll(page.listed());
            if (page.next() == null) {
                done.accept(Optional.of(before));
            } else {
                page(page.next(), waitMs, before, pages + 1, done);
            }
        });
    }

    @Override
    public void probe(final String at, final long timeoutMillis, final Consumer<Optional<ProbeResult>> done) {
        get(
                at,
                platform.statusTarget(),
                timeoutMillis,
                true,
                tree -> done.accept(Optional.ofNullable(tree).map(platform::status)));
    }

    @Override
    public void report(
            final String holder,
            final long token,
            final SealedWindow sealed,
            final long waitMs,
            final SendDeadline deadline,
            final ReportCallback callback) {
        final PlatformProtocol.Report report = platform.report(holder, token, sealed);
        client.call(
                new HttpCall(
                        address,
                        HttpCall.ANY_INSTANCE,
                        "POST",
                        report.target(),
                        report.headers(),
                        report.body(),
                        waitMs,
                        waitMs,
                        LIST_MAX,
                        true,
                        false,
                        stage,
                        deadline::latestMs,
                        () -> {}),
                result -> {
                    final boolean ok = result instanceof HttpResult.Whole whole && whole.status() / 100 == 2;
                    stage.execute(() -> callback.onResult(ok ? ReportResult.ACCEPTED : ReportResult.UNCONFIRMED));
                });
    }
}
