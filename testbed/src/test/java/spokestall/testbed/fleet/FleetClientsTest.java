package spokestall.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spokestall.configuration.KeyHash;
import spokestall.testbed.Deployment;
import spokestall.testbed.standin.RawUpstream;

/** The bytes that a client sends and receives through real nodes, with an upstream that records raw requests and writes raw responses. */
class FleetClientsTest {
    private static final int LINES = 60;
    private static final long LINE_MS = 25;
    private static final long SLOW_RESPONSE_MS = 900;
    /** More bytes than an edge reads ahead at once. */
    private static final int READ_AHEAD_BYTES = 600;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KEY = "key-one-0001";
    private static final int REQUEST_SLOTS = 16;
    private static Fleet fleet;
    private static RawUpstream upstream;
    private static String edge;

    @BeforeAll
    static void start(@TempDir final Path folder) throws Exception {
        fleet = new Fleet(
                Deployment.PADMA,
                folder,
                FleetLayout.relayed(3, 0),
                List.of(new Deployment.Place("transfers-0", "transfers", "d1", "r1")),
                (place, port) -> upstream = new RawUpstream(place, port),
                Map.of("askOpenMax", Integer.toString(REQUEST_SLOTS), "askSpanMaxMs", "6000"));
        fleet.start();
        fleet.awaitReady(fleet.putConfiguration("raw", configuration()));
        edge = fleet.members().get("d1-edge").http;
    }

    private static ObjectNode configuration() {
        final ObjectNode configuration = JSON.createObjectNode();
        final ObjectNode tenants =
                configuration.putObject("cells").putObject("cell").putObject("tenants");
        for (final String name : List.of("one", "two")) {
            final ObjectNode t = tenants.putObject(name);
            t.putArray("homeRegions").add("r1");
            t.putObject("keys").putObject("main").put("sha256", KeyHash.of("key-" + name + "-0001"));
            final ObjectNode routes = t.putObject("bindings");
            routes.putObject("all").put("path", "/transfers").put("service", "transfers");
            routes.putObject("once")
                    .put("path", "/transfers/payout")
                    .put("service", "transfers")
                    .put("runOnce", true);
        }
        configuration
                .putObject("services")
                .putObject("transfers")
                .put("goMs", 2000)
                .put("answerMaxBytes", 8 << 20);
        return configuration;
    }

    @AfterAll
    static void stop() throws Exception {
        assertThat(fleet.stopAll()).as("stopped cleanly").isTrue();
        fleet.close();
    }

    @BeforeEach
    void reset() {
        upstream.reset();
    }

    private static RawClient.Response sendRequest(final String method, final String target, final String more)
            throws IOException {
        try (RawClient client = new RawClient(edge)) {
            client.send(RawClient.head(method, target, KEY, RawClient.nextRequestId()) + more + "\r\n");
            return client.readResponse(method.equals("HEAD"));
        }
    }

    private static RawUpstream.ReceivedRequest awaitUpstreamRequest() throws InterruptedException {
        final RawUpstream.ReceivedRequest request = upstream.awaitRequest(5000);
        assertThat(request).as("a request reaches the upstream").isNotNull();
        return request;
    }

    @Test
    void aClientCannotMakeAnOperatorsCall() throws Exception {
        final long before =
                fleet.status(fleet.members().get("d1-edge")).path("version").asLong();
        for (final String node : List.of(edge, fleet.members().get("d1-core").http)) {
            for (final String method :
                    List.of("policy.put", "policy.patch", "hold.set", "key.add", "status", "nothing")) {
                final ObjectNode params =
                        JSON.createObjectNode().put("base", before).put("changeId", "bad");
                params.set("policy", configuration());
                assertThat(fleet.call(node, method, params).path("code").asInt())
                        .as(method)
                        .isEqualTo(4004);
            }
            assertThat(fleet.call(
                                    node,
                                    "where",
                                    JSON.createObjectNode().put("client", "me").put("key", KEY))
                            .path("code")
                            .asInt())
                    .isEqualTo(1000);
        }
        assertThat(fleet.status(fleet.members().get("d1-edge")).path("version").asLong())
                .isEqualTo(before);
    }

    /** Checks that the next request to reach the upstream is one that is sent now. */
    private static void assertNothingForwarded() throws Exception {
        assertThat(sendRequest("GET", "/transfers/marker", "").status()).isEqualTo(200);
        assertThat(awaitUpstreamRequest().requestLine()).isEqualTo("GET /transfers/marker HTTP/1.1");
    }

    @Test
    void theRequestTargetIsForwardedUnchanged() throws Exception {
        for (final String target : List.of(
                "/transfers/a%20b%3fc%23d%25",
                "/transfers/x?q=%0d%0ay&z=a+b&&e=%C3%A9?/",
                "/transfers/caf%c3%a9/",
                "/transfers/a:b@c!$&'()*+,=~-._")) {
            assertThat(sendRequest("GET", target, "").status()).as(target).isEqualTo(200);
            assertThat(awaitUpstreamRequest().requestLine()).isEqualTo("GET " + target + " HTTP/1.1");
        }
    }

    @Test
    void aTargetWithoutOneCanonicalFormIsRejectedAndNeverForwarded() throws Exception {
        for (final String target : List.of(
                "/x/../transfers/payout",
                "//transfers/payout",
                "/transfers//payout",
                "/transfers/./payout",
                "/transfers/..",
                "/transfers/%70ayout",
                "/transfers/%2e%2e/payout",
                "/transfers%2fpayout",
                "/transfers%5Cpayout",
                "/transfers\\payout",
                "/transfers/a%0d%0aX: y",
                "/transfers/a%00",
                "/transfers/%zz",
                "/transfers/%4",
                "/transfers/a#b",
                "/transfers/payout;v=1",
                "/transfers/payout%3Bv=1",
                "/transfers/a?b=%zz",
                "/transfers/a?b#c",
                "/transfers/a%7fb",
                "http://edge/transfers/payout",
                "transfers/payout",
                "*")) {
            final RawClient.Response response = sendRequest("GET", target, "");
            assertThat(response == null ? 400 : response.status()).as(target).isEqualTo(400);
            assertThat(response == null || response.resultCode() == null ? "2014" : response.resultCode())
                    .as(target)
                    .isEqualTo("2014");
        }
        for (final String line : List.of("CONNECT edge:80", "TRACE /transfers/a")) {
            final RawClient.Response response = sendRequest(line.split(" ")[0], line.split(" ")[1], "");
            assertThat(response == null ? 400 : response.status()).as(line).isBetween(400, 499);
        }
        assertNothingForwarded();
    }

    @Test
    void endToEndHeadersPassBothWaysAndHopByHopOnesDoNot() throws Exception {
        upstream.responder = (c, out) -> out.write("HTTP/1.1 200 OK\r\n" + RawUpstream.identityHeaders(c)
                + "Content-Length: 2\r\nContent-Type: text/calendar\r\nContent-Disposition: attachment; filename=\"a b.ics\"\r\n"
                + "Content-Language: de\r\nETag: \"v1\"\r\nLast-Modified: Tue, 01 Dec 2026 00:00:00 GMT\r\n"
                + "Cache-Control: max-age=60\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nLocation: /transfers/9\r\n"
                + "Connection: X-Hop, keep-alive\r\nX-Hop: no\r\nKeep-Alive: timeout=9\r\nProxy-Authenticate: Basic\r\n"
                + "Spokestall-Code: 9999\r\nSpokestall-Outcome: ran\r\nSpokestall-Other: x\r\n\r\nok");
        final RawClient.Response response = sendRequest(
                "GET",
                "/transfers/a",
                "Accept: text/calendar\r\nAccept-Language: de\r\n"
                        + "If-None-Match: \"v0\"\r\nRange: bytes=0-1\r\nAuthorization: Bearer t\r\nCookie: c=3\r\nX-Two: 1\r\nX-Two: 2\r\n"
                        + "Connection: X-Mine\r\nX-Mine: no\r\nTE: trailers\r\nProxy-Authorization: Basic x\r\nUpgrade: h2c\r\n"
                        + "Spokestall-Tenant: two\r\nspokestall-instance: else\r\nSpokestall-Service: records\r\nSpokestall-X: 1\r\n");
        final RawUpstream.ReceivedRequest request = awaitUpstreamRequest();
        assertThat(request.header("Accept")).isEqualTo("text/calendar");
        assertThat(request.header("Accept-Language")).isEqualTo("de");
        assertThat(request.header("If-None-Match")).isEqualTo("\"v0\"");
        assertThat(request.header("Range")).isEqualTo("bytes=0-1");
        assertThat(request.header("Authorization")).isEqualTo("Bearer t");
        assertThat(request.header("Cookie")).isEqualTo("c=3");
        assertThat(request.head()).contains("X-Two: 1\r\nX-Two: 2");
        for (final String hop :
                List.of("X-Mine", "TE", "Proxy-Authorization", "Upgrade", "Spokestall-Key", "Spokestall-X")) {
            assertThat(request.header(hop)).as(hop).isNull();
        }
        assertThat(request.header("Spokestall-Tenant")).isEqualTo("one");
        assertThat(request.header("Spokestall-Instance")).isEqualTo("transfers-0");
        assertThat(request.header("Spokestall-Service")).isEqualTo("transfers");
        assertThat(request.head().toLowerCase(Locale.ROOT).split("spokestall-instance", -1))
                .hasSize(2);
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.resultCode()).isEqualTo("1000");
        assertThat(response.headerValues("Spokestall-Code")).hasSize(1);
        assertThat(response.header("Spokestall-Outcome")).isEqualTo("ran");
        assertThat(response.header("Content-Disposition")).isEqualTo("attachment; filename=\"a b.ics\"");
        assertThat(response.header("Content-Language")).isEqualTo("de");
        assertThat(response.header("ETag")).isEqualTo("\"v1\"");
        assertThat(response.header("Last-Modified")).isEqualTo("Tue, 01 Dec 2026 00:00:00 GMT");
        assertThat(response.header("Cache-Control")).isEqualTo("max-age=60");
        assertThat(response.header("Location")).isEqualTo("/transfers/9");
        assertThat(response.headerValues("Set-Cookie")).containsExactly("a=1", "b=2");
        for (final String hop : List.of("X-Hop", "Proxy-Authenticate", "Spokestall-Other")) {
            assertThat(response.header(hop)).as(hop).isNull();
        }
        assertThat(response.body()).isEqualTo("ok");
    }

    @Test
    void aRecordedAnswerHasTheHeadersOfTheOriginal() throws Exception {
        upstream.responder = (c, out) -> out.write("HTTP/1.1 201 Created\r\n" + RawUpstream.identityHeaders(c)
                + "Content-Length: 4\r\nLocation: /transfers/7\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\npaid");
        final String ticket = fleet.call(
                        fleet.members().get("d1-core").operators,
                        "where",
                        JSON.createObjectNode().put("client", "me").put("key", KEY))
                .path("result")
                .path("ticket")
                .asText();
        final List<RawClient.Response> responses = new ArrayList<>();
        try (RawClient client = new RawClient(edge)) {
            client.send(RawClient.head("POST", "/transfers/payout", KEY, ticket + ".pay-1")
                    + "Content-Length: 2\r\n\r\nhi");
            responses.add(client.readResponse());
        }
        assertThat(responses.get(0).resultCode()).isEqualTo("1000");
        awaitUpstreamRequest();
        Fleet.waitUntil("the repeat finds the recorded answer", 5000, () -> {
            try (RawClient client = new RawClient(edge)) {
                client.send(RawClient.head("POST", "/transfers/payout", KEY, ticket + ".pay-1")
                        + "Content-Length: 2\r\n\r\nhi");
                responses.add(client.readResponse());
                return "1001".equals(responses.get(responses.size() - 1).resultCode());
            } catch (final IOException e) {
                throw new IllegalStateException(e);
            }
        });
        final RawClient.Response last = responses.get(responses.size() - 1);
        assertThat(last.status()).isEqualTo(201);
        assertThat(last.header("Location")).isEqualTo("/transfers/7");
        assertThat(last.headerValues("Set-Cookie")).containsExactly("a=1", "b=2");
        assertThat(last.body()).isEqualTo("paid");
        upstream.responder = RawUpstream::respondOk;
        assertNothingForwarded();
    }

    @Test
    void responsesWithoutBodyAndInterimResponsesAreFramedCorrectly() throws Exception {
        upstream.responder = (c, out) ->
                out.write("HTTP/1.1 200 OK\r\n" + RawUpstream.identityHeaders(c) + "Content-Length: 5000\r\n\r\n");
        final RawClient.Response head = sendRequest("HEAD", "/transfers/a", "");
        assertThat(head.status()).isEqualTo(200);
        assertThat(head.header("Content-Length")).isEqualTo("5000");
        upstream.responder =
                (c, out) -> out.write("HTTP/1.1 204 No Content\r\n" + RawUpstream.identityHeaders(c) + "\r\n");
        try (RawClient client = new RawClient(edge)) {
            client.send(RawClient.head("DELETE", "/transfers/a", KEY, RawClient.nextRequestId()) + "\r\n");
            final RawClient.Response none = client.readResponse();
            assertThat(none.status()).isEqualTo(204);
            assertThat(none.header("Content-Length")).isNull();
            upstream.responder = (c, out) -> out.write(
                    "HTTP/1.1 304 Not Modified\r\nETag: \"v1\"\r\n" + RawUpstream.identityHeaders(c) + "\r\n");
            client.send(RawClient.head("GET", "/transfers/a", KEY, RawClient.nextRequestId()) + "\r\n");
            final RawClient.Response same = client.readResponse();
            assertThat(same.status()).isEqualTo(304);
            assertThat(same.header("ETag")).isEqualTo("\"v1\"");
            upstream.responder = (c, out) -> out.write("HTTP/1.1 206 Partial Content\r\nContent-Range: bytes 0-1/9\r\n"
                    + RawUpstream.identityHeaders(c) + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
            client.send(RawClient.head("GET", "/transfers/a", KEY, RawClient.nextRequestId()) + "\r\n");
            final RawClient.Response part = client.readResponse();
            assertThat(part.status()).isEqualTo(206);
            assertThat(part.header("Content-Range")).isEqualTo("bytes 0-1/9");
            assertThat(part.body()).isEqualTo("ab");
        }
        upstream.responder = (c, out) -> {
            out.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
            RawUpstream.respondOk(c, out);
        };
        final RawClient.Response after = sendRequest("GET", "/transfers/a", "");
        assertThat(after.status())
                .as("an interim response is never the final one")
                .isEqualTo(502);
        upstream.responder = RawUpstream::respondOk;
        assertThat(sendRequest("GET", "/transfers/a", "").status()).isEqualTo(200);
    }

    @Test
    void aRequestWithAmbiguousFramingIsRejectedAndItsConnectionCloses() throws Exception {
        for (final String framing : List.of(
                "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
                "Content-Length: 3, 3\r\n\r\nabc",
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: identity\r\n\r\n",
                "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                "Content-Length: +3\r\n\r\nabc",
                "Content-Length: -1\r\n\r\n",
                "Content-Length : 3\r\n\r\nabc",
                "Host: other\r\n\r\n")) {
            try (RawClient client = new RawClient(edge)) {
                client.send(RawClient.head("POST", "/transfers/a", KEY, RawClient.nextRequestId()) + framing
                        + "GET /transfers/smuggled HTTP/1.1\r\n\r\n");
                final RawClient.Response response = client.readResponse();
                assertThat(response == null ? 400 : response.status())
                        .as(framing)
                        .isEqualTo(400);
                assertThat(client.isClosedByPeer()).as(framing).isTrue();
            }
        }
        assertNothingForwarded();
    }

    @Test
    void aResponseWithAmbiguousFramingIsNeverForwarded() throws Exception {
        for (final String framing : List.of(
                "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
                "Content-Length: 2, 2\r\n\r\nab",
                "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "\r\nabc",
                "Content-Length: x\r\n\r\nab",
                "Content-Length: -2\r\n\r\nab",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n")) {
            upstream.responder = (c, out) -> {
                out.write("HTTP/1.1 200 OK\r\n" + RawUpstream.identityHeaders(c) + framing);
                out.close();
            };
            final RawClient.Response response = sendRequest("GET", "/transfers/a", "");
            assertThat(response.status()).as(framing).isEqualTo(502);
            assertThat(response.resultCode()).as(framing).isEqualTo("3001");
            upstream.responder = RawUpstream::respondOk;
            Fleet.waitUntil("the upstream is used again", 8000, FleetClientsTest::upstreamServes);
        }
    }

    @Test
    void expectContinueIsAnsweredOnceTheRequestIsAdmitted() throws Exception {
        final String expecting = "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n";
        try (RawClient client = new RawClient(edge)) {
            for (int i = 0; i < 2; i++) {
                client.send(RawClient.head("POST", "/transfers/a", KEY, RawClient.nextRequestId()) + expecting);
                assertThat(client.readResponse().status()).isEqualTo(100);
                client.send("body");
                assertThat(client.readResponse().status()).isEqualTo(200);
                assertThat(awaitUpstreamRequest().body()).isEqualTo("body");
            }
        }
        try (RawClient client = new RawClient(edge)) {
            client.send(RawClient.head("POST", "/transfers/a", "no-such-key", RawClient.nextRequestId()) + expecting);
            assertThat(client.readResponse().status())
                    .as("denied before the body is sent")
                    .isEqualTo(401);
            assertThat(client.isClosedByPeer())
                    .as("the next bytes could be the body or another request")
                    .isTrue();
        }
        assertNothingForwarded();
    }

    private static boolean upstreamServes() {
        try {
            return sendRequest("GET", "/transfers/a", "").status() == 200;
        } catch (final IOException e) {
            return false;
        }
    }

    @Test
    void clientsThatStallInMidBodyLoseTheirSlotsAtTheDeadline() throws Exception {
        final List<RawClient> halves = new ArrayList<>();
        try {
            for (int i = 0; i < REQUEST_SLOTS; i++) {
                final RawClient half = new RawClient(edge);
                halves.add(half);
                half.send(RawClient.head("POST", "/transfers/a", KEY, RawClient.nextRequestId())
                                .replace("4000", "1500") + "Content-Length: 100\r\n\r\nabc");
            }
            // Another tenant still gets a slot while one tenant uses all it may; the first tenant gets one again after
            // these requests end.
            Fleet.waitUntil(
                    "the half-sent requests are admitted",
                    5000,
                    () -> fleet.status(fleet.members().get("d1-edge"))
                                    .path("open")
                                    .asInt()
                            > 2);
            try (RawClient other = new RawClient(edge)) {
                other.send(RawClient.head("GET", "/transfers/a", "key-two-0001", RawClient.nextRequestId()) + "\r\n");
                assertThat(other.readResponse().status()).isEqualTo(200);
            }
            int timedOut = 0;
            for (final RawClient half : halves) {
                final RawClient.Response response = half.readResponse();
                assertThat(response.resultCode()).isIn("2006", "2009");
                assertThat(response.header("Retry-After")).isNotNull();
                timedOut += response.resultCode().equals("2006") ? 1 : 0;
                assertThat(half.isClosedByPeer()).isTrue();
            }
            assertThat(timedOut).isPositive();
            assertThat(fleet.status(fleet.members().get("d1-edge")).path("open").asInt())
                    .isZero();
        } finally {
            for (final RawClient half : halves) {
                half.close();
            }
        }
        assertThat(sendRequest("GET", "/transfers/a", "").status()).isEqualTo(200);
    }

    @Test
    void clientsThatDisconnectInMidBodyLoseTheirSlotsAtOnce() throws Exception {
        for (int i = 0; i < REQUEST_SLOTS; i++) {
            try (RawClient half = new RawClient(edge)) {
                half.send(
                        RawClient.head("POST", "/transfers/a", KEY, RawClient.nextRequestId())
                                        .replace("4000", "25000") + "Content-Length: 100\r\n\r\nabc");
            }
        }
        Fleet.waitUntil(
                "all slots are free",
                5000,
                () -> fleet.status(fleet.members().get("d1-edge")).path("open").asInt() == 0);
        assertNothingForwarded();
    }

    @Test
    void aResponseThatItsClientDoesNotReadIsDroppedAfterATimeout() throws Exception {
        upstream.responder = (c, out) -> {
            out.write("HTTP/1.1 200 OK\r\n" + RawUpstream.identityHeaders(c) + "Content-Length: 8000000\r\n\r\n");
            out.write("x".repeat(8_000_000));
        };
        try (RawClient notReading = new RawClient(edge)) {
            notReading.send(RawClient.head("GET", "/transfers/a", KEY, RawClient.nextRequestId()) + "\r\n");
            awaitUpstreamRequest();
            Fleet.waitUntil("the slot is free while the response waits for its client", 5000, () -> {
                final JsonNode s = fleet.status(fleet.members().get("d1-edge"));
                return s.path("open").asInt() == 0 && s.path("heldBytes").asLong() == 8_000_000;
            });
            Fleet.waitUntil(
                    "the held bytes are released",
                    15_000,
                    () -> fleet.status(fleet.members().get("d1-edge"))
                                    .path("heldBytes")
                                    .asLong()
                            == 0);
        }
    }

    @Test
    void anUpstreamThatRespondsTwiceEarlyOrSlowlyNeverCausesAWrongResponse() throws Exception {
        final List<RawUpstream.Responder> responders = List.of(
                (c, out) -> {
                    RawUpstream.respondOk(c, out);
                    RawUpstream.respondOk(c, out);
                },
                (c, out) -> {
                    RawUpstream.respondOk(c, out);
                    out.write("left over");
                });
        for (final RawUpstream.Responder responder : responders) {
            for (int i = 0; i < 5; i++) {
                upstream.responder = responder;
                sendRequest("GET", "/transfers/a", "");
                upstream.responder = RawUpstream::respondOk;
                final String id = RawClient.nextRequestId();
                try (RawClient client = new RawClient(edge)) {
                    client.send(RawClient.head("GET", "/transfers/b", KEY, id) + "\r\n");
                    final RawClient.Response response = client.readResponse();
                    assertThat(response.body()).as("turn " + i + " " + response).isEqualTo("answer to " + id);
                    assertThat(response.header("Spokestall-Goes"))
                            .as("no attempt failed because of bytes left by an earlier response")
                            .isEqualTo("1");
                }
            }
        }
        upstream.respondBeforeBody = true;
        try (RawClient client = new RawClient(edge)) {
            final String body = "x".repeat(60_000);
            client.send(RawClient.head("POST", "/transfers/a", KEY, RawClient.nextRequestId())
                    + "Content-Length: 60000\r\n\r\n" + body);
            assertThat(client.readResponse().status()).isIn(200, 502);
        }
        upstream.reset();
        upstream.responder = (c, out) -> {
            for (final char one : ("HTTP/1.1 200 OK\r\n" + RawUpstream.identityHeaders(c)
                            + "Content-Length: 900\r\n\r\n")
                    .toCharArray()) {
                out.write(String.valueOf(one));
            }
            for (int i = 0; i < 899; i++) {
                out.write("x");
            }
        };
        final long fromNs = System.nanoTime();
        final RawClient.Response slow = sendRequest("GET", "/transfers/a", "");
        assertThat(slow.resultCode()).isEqualTo("3001");
        assertThat((System.nanoTime() - fromNs) / 1_000_000)
                .as("ends when the attempt times out")
                .isLessThan(8000);
        upstream.reset();
        Fleet.waitUntil("the upstream is used again", 8000, FleetClientsTest::upstreamServes);
    }

    @Test
    void aConnectionThatLeadsToAnotherInstanceIsNotReused() throws Exception {
        final int[] elsewhere = {-1};
        upstream.responder = (c, out) -> {
            if (elsewhere[0] < 0 || c.connection() == elsewhere[0]) {
                elsewhere[0] = c.connection();
                out.write(
                        "HTTP/1.1 421 Misdirected\r\nSpokestall-Ask-Id: " + c.header("Spokestall-Ask-Id")
                                + "\r\nSpokestall-Instance: another\r\nSpokestall-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
            } else {
                RawUpstream.respondOk(c, out);
            }
        };
        assertThat(sendRequest("GET", "/transfers/a", "").status()).isEqualTo(503);
        final int first = awaitUpstreamRequest().connection();
        Fleet.waitUntil(
                "requests reach the right instance on another connection", 8000, FleetClientsTest::upstreamServes);
        RawUpstream.ReceivedRequest last = awaitUpstreamRequest();
        while (upstream.received.peek() != null) {
            last = awaitUpstreamRequest();
        }
        assertThat(last.connection()).isNotEqualTo(first);
        assertThat(upstream.received).isEmpty();
    }

    @Test
    void aWithdrawnKeyIsRejectedOnOpenConnectionsForPipelinedAndHalfSentRequests() throws Exception {
        final ObjectNode params = JSON.createObjectNode()
                .put("changeId", "add-gone")
                .put("cell", "cell")
                .put("tenant", "two")
                .put("keyId", "gone")
                .put("key", "key-gone-0001");
        final String core = fleet.members().get("d1-core").operators;
        params.put(
                "base",
                fleet.call(core, "policy.get", JSON.createObjectNode())
                        .path("result")
                        .path("version")
                        .asLong());
        final long added = fleet.call(core, "key.add", params)
                .path("result")
                .path("version")
                .asLong();
        Fleet.waitUntil(
                "the key is in force",
                5000,
                () -> fleet.status(fleet.members().get("d1-edge"))
                                .path("version")
                                .asLong()
                        >= added);
        try (RawClient open = new RawClient(edge);
                RawClient half = new RawClient(edge)) {
            open.send(RawClient.head("GET", "/transfers/a", "key-gone-0001", RawClient.nextRequestId()) + "\r\n");
            assertThat(open.readResponse().status()).isEqualTo(200);
            half.send(RawClient.head("POST", "/transfers/a", "key-gone-0001", RawClient.nextRequestId())
                            .replace("4000", "20000")
                    + "Content-Length: 4\r\n\r\nab");
            Fleet.waitUntil(
                    "the half-sent request is admitted",
                    5000,
                    () -> fleet.status(fleet.members().get("d1-edge"))
                                    .path("open")
                                    .asInt()
                            == 1);
            params.put("changeId", "take-gone").put("base", added).remove("key");
            final long withdrawn = fleet.call(core, "key.withdraw", params)
                    .path("result")
                    .path("version")
                    .asLong();
            assertThat(withdrawn).isGreaterThan(added);
            Fleet.waitUntil(
                    "the withdrawal is in force",
                    5000,
                    () -> fleet.status(fleet.members().get("d1-edge"))
                                    .path("version")
                                    .asLong()
                            >= withdrawn);
            upstream.received.clear();
            half.send("cd");
            assertThat(half.readResponse().resultCode()).isEqualTo("2002");
            final String one =
                    RawClient.head("GET", "/transfers/a", "key-gone-0001", RawClient.nextRequestId()) + "\r\n";
            open.send(one + one + one);
            for (int i = 0; i < 3; i++) {
                final RawClient.Response response = open.readResponse();
                assertThat(response.status()).isEqualTo(401);
                assertThat(response.resultCode()).isEqualTo("2002");
            }
        }
        assertNothingForwarded();
    }

    /** The upstream writes the response head line by line, so that a write fails once the edge has closed the connection. */
    @Test
    void anIdempotentRequestIsCancelledAtItsUpstreamWhenItsClientDisconnects() throws Exception {
        final CountDownLatch ended = new CountDownLatch(1);
        final CountDownLatch never = new CountDownLatch(1);
        upstream.responder = (came, out) -> {
            try {
                out.write("HTTP/1.1 200 OK\r\n");
                for (int line = 0; line < LINES; line++) {
                    never.await(LINE_MS, TimeUnit.MILLISECONDS);
                    out.write("X-Line: " + line + "\r\n");
                }
            } catch (final IOException closed) {
                ended.countDown();
            }
        };
        try (RawClient client = new RawClient(edge)) {
            client.send(RawClient.head("GET", "/transfers/x", KEY, RawClient.nextRequestId()) + "\r\n");
            awaitUpstreamRequest();
        }
        assertThat(ended.await(500, TimeUnit.MILLISECONDS))
                .as("cancelled within half a second after the client disconnects")
                .isTrue();
    }

    /** While the first request is in flight, the edge reads ahead on the connection to detect that the client disconnects. */
    @Test
    void aRequestPipelinedBehindASlowOneIsAnswered() throws Exception {
        final CountDownLatch never = new CountDownLatch(1);
        upstream.responder = (came, out) -> {
            if (came.requestLine().contains("/transfers/lasts")) {
                never.await(SLOW_RESPONSE_MS, TimeUnit.MILLISECONDS);
            }
            out.write("HTTP/1.1 200 OK\r\n" + RawUpstream.identityHeaders(came) + "Content-Length: 2\r\n\r\nok");
        };
        try (RawClient client = new RawClient(edge)) {
            client.send(RawClient.head("GET", "/transfers/lasts", KEY, RawClient.nextRequestId()) + "\r\n");
            assertThat(awaitUpstreamRequest().requestLine()).isEqualTo("GET /transfers/lasts HTTP/1.1");
            final String second = RawClient.head("GET", "/transfers/behind", KEY, RawClient.nextRequestId())
                    + "X-Fill: " + "x".repeat(READ_AHEAD_BYTES) + "\r\n\r\n";
            client.send(second.substring(0, READ_AHEAD_BYTES));
            assertThat(client.readResponse().status()).isEqualTo(200);
            client.send(second.substring(READ_AHEAD_BYTES));
            assertThat(client.readResponse().status()).isEqualTo(200);
            final RawUpstream.ReceivedRequest behind = awaitUpstreamRequest();
            assertThat(behind.requestLine()).isEqualTo("GET /transfers/behind HTTP/1.1");
            assertThat(behind.header("X-Fill")).hasSize(READ_AHEAD_BYTES);
            client.send(second);
            assertThat(client.readResponse().status())
                    .as("the connection stays usable")
                    .isEqualTo(200);
        }
    }
}
