package spokestall.io.protocol;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import spokestall.io.http.HeldRequest;
import spokestall.io.http.HttpCall;
import spokestall.io.http.HttpClient;
import spokestall.io.http.HttpResult;
import spokestall.io.http.SendGate;
import spokestall.io.http.Transmission;
import spokestall.usage.ReportCall;
import spokestall.usage.ReportCallback;
import spokestall.usage.ReportPermit;
import spokestall.usage.ReportResult;
import spokestall.usage.SendDeadline;

/**
 * One usage report over HTTP. The request is sent but for its last byte; then the platform is asked for something else, over a new
 * connection, which shows that the link works after the first part was written; then the permit is requested, and the last byte is
 * sent. Runs on the event loop.
 */
final class ReportExchange {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private final HttpClient client;
    private final Executor eventLoop;
    private final String platformAddress;
    private final PlatformProtocol platform;
    private final ReportCall call;
    private final ReportPermit permit;
    private final ReportCallback callback;
    private boolean ended;

    ReportExchange(
            final HttpClient client,
            final Executor eventLoop,
            final String platformAddress,
            final PlatformProtocol platform,
            final ReportCall call,
            final ReportPermit permit,
            final ReportCallback callback) {
        this.client = client;
        this.eventLoop = eventLoop;
        this.platformAddress = platformAddress;
        this.platform = platform;
        this.call = call;
        this.permit = permit;
        this.callback = callback;
    }

    void start(final SendDeadline deadline) {
        final PlatformProtocol.Report report = platform.report(call.holder(), call.fencingToken(), call.window());
        final SendGate gate =
                new SendGate(eventLoop, deadline::latestMs, true, this::logSent, Optional.of(this::checkLink));
        client.call(httpCall("POST", report.target(), report, gate), this::onResult);
    }

    private HttpCall httpCall(
            final String method, final String target, final PlatformProtocol.Report report, final SendGate gate) {
        final boolean freshConnection = true;
        final boolean idempotent = report == null;
        return new HttpCall(
                platformAddress,
                HttpCall.ANY_INSTANCE,
                method,
                target,
                report == null ? List.of() : report.headers(),
                report == null ? new byte[0] : report.body(),
                call.timeoutMillis(),
                call.timeoutMillis(),
                MAX_RESPONSE_BYTES,
                freshConnection,
                idempotent,
                gate);
    }

    /** Any answer shows that the link works, whatever its status. */
    private void checkLink(final HeldRequest held) {
        client.call(
                httpCall("GET", platform.linkCheckTarget(), null, SendGate.OPEN),
                result -> eventLoop.execute(() -> onLinkChecked(held, result)));
    }

    private void onLinkChecked(final HeldRequest held, final HttpResult result) {
        if (ended) {
            return;
        }
        if (result instanceof HttpResult.Complete) {
            permit.request(permitted -> releaseOrAbandon(held, permitted));
        } else {
            LOG.atInfo().log(
                    "event=report_link_check_failed node=%s fencingToken=%s window=%s reason=%s",
                    call.holder(), call.fencingToken(), call.window().window(), reason(result));
            held.abandon();
        }
    }

    private static void releaseOrAbandon(final HeldRequest held, final boolean permitted) {
        if (permitted) {
            held.release();
        } else {
            held.abandon();
        }
    }

    private void onResult(final HttpResult result) {
        LOG.atInfo().log(
                "event=report_call_ended node=%s fencingToken=%s window=%s reason=%s",
                call.holder(), call.fencingToken(), call.window().window(), reason(result));
        eventLoop.execute(() -> {
            ended = true;
            callback.onResult(reportResult(result));
        });
    }

    private static ReportResult reportResult(final HttpResult result) {
        if (result instanceof HttpResult.NotSent) {
            return ReportResult.NOT_SENT;
        }
        return result instanceof HttpResult.Complete response && response.status() / 100 == 2
                ? ReportResult.ACCEPTED
                : ReportResult.UNCONFIRMED;
    }

    private void logSent(final Transmission transmission) {
        LOG.atInfo().log(
                "event=report_sent node=%s fencingToken=%s window=%s connection=%s connectMs=%s leftMs=%s",
                call.holder(),
                call.fencingToken(),
                call.window().window(),
                transmission.localAddress(),
                transmission.connectMs(),
                transmission.leftMs());
    }

    private static String reason(final HttpResult result) {
        if (result instanceof HttpResult.Complete response) {
            return "status_" + response.status();
        }
        return result instanceof HttpResult.Lost lost
                ? "lost:" + lost.reason().replace(' ', '_')
                : "not_sent:" + ((HttpResult.NotSent) result).reason().replace(' ', '_');
    }
}
