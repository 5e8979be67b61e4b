package spokestall.io.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import spokestall.api.ResultCode;
import spokestall.discovery.ListedEndpoint;
import spokestall.discovery.ProbeResult;
import spokestall.io.http.HttpResult;
import spokestall.message.Header;
import spokestall.message.ResponseContent;
import spokestall.proxy.Attempt;
import spokestall.proxy.AttemptResult;
import spokestall.proxy.ExecutionStatus;
import spokestall.proxy.RequestHead;
import spokestall.proxy.Response;
import spokestall.testsupport.GoldenFile;
import spokestall.usage.SealedWindow;

/** The heads of messages in spokestall's own protocols with clients, upstreams and a platform. */
class HeadsFormatTest {
    private static final NativeClientProtocol REQUESTS = new NativeClientProtocol();
    private static final NativeUpstreamProtocol ATTEMPTS = new NativeUpstreamProtocol();
    private static final NativePlatformProtocol PLATFORM = new NativePlatformProtocol();
    private static final byte[] BODY = "{}".getBytes(StandardCharsets.UTF_8);
    private static final Attempt ATTEMPT = new Attempt(
            "t1-17-1000.pay-4",
            "tenant-1",
            "i-1",
            "transfers",
            "10.3.0.1:80",
            "POST",
            "/transfers/17",
            List.of(new Header("Content-Type", "application/json")),
            BODY,
            700,
            1000,
            false);

    /** Returns the header fields of a head, whose first line is skipped because it is the start line. */
    private static HeaderMap fields(final List<String> head) {
        final HeaderMap fields = new HeaderMap();
        for (final String line : head.subList(1, head.size())) {
            final int colon = line.indexOf(": ");
            fields.add(new HttpString(line.substring(0, colon)), line.substring(colon + 2));
        }
        return fields;
    }

    private static String headerText(final List<Header> headers) {
        final StringBuilder text = new StringBuilder();
        headers.forEach(header ->
                text.append(header.name()).append(": ").append(header.value()).append('\n'));
        return text.toString();
    }

    /** Returns the fields sorted by name, because the header map has no defined order. */
    private static String sorted(final HeaderMap headers) {
        final List<String> lines = new ArrayList<>();
        headers.forEach(values -> values.forEach(value -> lines.add(values.getHeaderName() + ": " + value + "\n")));
        lines.sort(null);
        return String.join("", lines);
    }

    private static String responseText(final String title, final Response answer) {
        final HeaderMap headers = new HeaderMap();
        REQUESTS.writeHeaders(answer, headers);
        final String body =
                answer.content() == null ? new String(REQUESTS.errorBody(answer), StandardCharsets.UTF_8) + "\n" : "";
        return title + "\nstatus " + REQUESTS.status(answer) + "\n" + sorted(headers) + body + "\n";
    }

    private static AttemptResult interpreted(final String head) {
        return ATTEMPTS.interpret(
                ATTEMPT, new HttpResult.Complete(201, fields(head.lines().toList()), BODY));
    }

    @Test
    void readsTheHeadOfAClientRequest() {
        final HeaderMap fields = fields(GoldenFile.lines("ask-request-head.txt"));
        final RequestHead head = REQUESTS.readHead("POST", "a.example", "/transfers/17?full=1", fields, 12);
        assertThat(head.key()).isEqualTo("key-1");
        assertThat(head.requestId()).isEqualTo("t1-17-1000.pay-4");
        assertThat(head.remainingMs()).isEqualTo(2500);
        assertThat(head.headers())
                .as("headers that are forwarded")
                .containsExactlyInAnyOrder(new Header("Content-Type", "application/json"), new Header("X-Trace", "7"));
    }

    @Test
    void writesResponsesToClients() {
        final ResponseContent content = new ResponseContent(201, List.of(), BODY);
        final String written =
                responseText("of the upstream", new Response(ResultCode.OK, ExecutionStatus.RAN, content, "i-1", 2, 0))
                        + responseText(
                                "of spokestall",
                                new Response(ResultCode.NO_UPSTREAM, ExecutionStatus.NOT_RUN, null, null, 0, 1001))
                        + responseText(
                                "of spokestall, undecided",
                                new Response(ResultCode.LOST, ExecutionStatus.UNDECIDED, null, null, 1, 0));
        assertThat(written).isEqualTo(GoldenFile.text("ask-answer-heads.txt"));
    }

    @Test
    void writesTheHeadersOfAnAttempt() {
        assertThat(headerText(ATTEMPTS.headers(ATTEMPT))).isEqualTo(GoldenFile.text("go-request-head.txt"));
    }

    @Test
    void readsTheHeadOfAnUpstreamResponse() {
        final AttemptResult result = interpreted(GoldenFile.text("go-answer-head.txt"));
        assertThat(result).isInstanceOf(AttemptResult.Answered.class);
        final ResponseContent content = ((AttemptResult.Answered) result).content();
        assertThat(content.status()).isEqualTo(201);
        assertThat(content.headers())
                .containsExactlyInAnyOrder(new Header("Content-Type", "application/json"), new Header("X-Trace", "7"));
    }

    @Test
    void readsAnUpstreamRefusal() {
        final String head = GoldenFile.text("go-answer-head.txt");
        assertThat(interpreted(head + "Spokestall-Outcome: not-run\n")).isInstanceOf(AttemptResult.NotRun.class);
        assertThat(interpreted(head.replace("Spokestall-Instance: i-1", "Spokestall-Instance: i-2")))
                .isInstanceOf(AttemptResult.Lost.class);
        assertThat(interpreted(head.replace("pay-4", "pay-5"))).isInstanceOf(AttemptResult.Lost.class);
    }

    @Test
    void writesAUsageReport() {
        final PlatformProtocol.Report report =
                PLATFORM.report("d1-core", 9, new SealedWindow(345, Map.of("tenant-1", 6L), "d1-core", 9, false));
        final String body = new String(report.body(), StandardCharsets.UTF_8);
        assertThat("POST " + report.target() + " HTTP/1.1\n" + headerText(report.headers()) + "\n" + body + "\n")
                .isEqualTo(GoldenFile.text("usage-report.txt"));
    }

    @Test
    void readsTheListOfUpstreams() {
        assertThat(PLATFORM.listTarget()).isEqualTo("/upstreams");
        final PlatformProtocol.Page page = PLATFORM.parsePage(GoldenFile.json("upstreams-page.json"));
        assertThat(page.nextTarget()).isNull();
        assertThat(page.endpoints())
                .containsExactly(
                        new ListedEndpoint("i-1", "transfers", "10.3.0.1:80", "d1", "r1", true, 1500, 8),
                        new ListedEndpoint("i-2", "records", "10.3.0.2:80", "d2", "r2", false, -1, 0));
    }

    @Test
    void readsAnUpstreamStatus() {
        assertThat(PLATFORM.statusTarget()).isEqualTo("/spokestall/status");
        assertThat(PLATFORM.parseStatus(GoldenFile.json("upstream-status.json")))
                .isEqualTo(new ProbeResult("i-1", "transfers", true, 1500));
    }
}
