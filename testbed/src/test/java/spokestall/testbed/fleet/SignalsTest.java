package spokestall.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spokestall.configuration.KeyHash;
import spokestall.testbed.Deployment;
import spokestall.testbed.standin.RawUpstream;

/** The effect of signals on a real process that serves clients on persistent connections. */
class SignalsTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KEY = "key-one-0001";
    private static final String TARGET = "/transfers/x";
    private static Fleet fleet;
    private static RawUpstream upstream;

    @BeforeAll
    static void start(@TempDir final Path folder) throws Exception {
        fleet = new Fleet(
                Deployment.PADMA,
                folder,
                FleetLayout.relayed(3, 0),
                List.of(new Deployment.Place("transfers-0", "transfers", "d1", "r1")),
                (place, port) -> upstream = new RawUpstream(place, port),
                Map.of());
        fleet.start();
        fleet.awaitReady(fleet.putConfiguration("raw", configuration()));
    }

    private static ObjectNode configuration() {
        final ObjectNode configuration = JSON.createObjectNode();
        final ObjectNode tenant = configuration
                .putObject("cells")
                .putObject("cell")
                .putObject("tenants")
                .putObject("one");
        tenant.putArray("homeRegions").add("r1").add("r2").add("r3");
        tenant.putObject("keys").putObject("main").put("sha256", KeyHash.of(KEY));
        tenant.putObject("bindings").putObject("all").put("path", "/transfers").put("service", "transfers");
        configuration.putObject("services").putObject("transfers").put("goMs", 10_000);
        return configuration;
    }

    @AfterAll
    static void stop() throws Exception {
        fleet.stopAll();
        fleet.close();
    }

    private static RawClient.Response sendRequest(final RawClient client) throws IOException {
        client.send(RawClient.head("GET", TARGET, KEY, RawClient.nextRequestId()) + "\r\n");
        return client.readResponse();
    }

    private static boolean logged(final FleetMember member, final String words) {
        try {
            return member.log().contains(words);
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void awaitLogged(final FleetMember member, final String words) {
        Fleet.waitUntil(member.name + " logs " + words, 10_000, () -> logged(member, words));
    }

    @Test
    void aHangupReloadsTheSettingsAndKeepsConnectionsOpen() throws Exception {
        for (final String name : List.of("d1-edge", "d1-core")) {
            final FleetMember member = fleet.members().get(name);
            try (RawClient client = new RawClient(fleet.members().get("d1-edge").http)) {
                assertThat(sendRequest(client).status()).isEqualTo(200);
                member.changeSetting("whereS", "3");
                member.signal("HUP");
                awaitLogged(member, "event=settings_renewed node=" + name + " taken=[whereS] waiting=[]");
                member.changeSetting("whereS", "soon");
                member.signal("HUP");
                awaitLogged(member, "event=settings_refused");
                assertThat(sendRequest(client).status()).isEqualTo(200);
                assertThat(member.process.isAlive()).isTrue();
                member.changeSetting("whereS", "2.5");
                member.signal("HUP");
            }
        }
    }

    @Test
    void aChangedSettingsFileIsReloadedWithoutASignal() throws Exception {
        final FleetMember member = fleet.members().get("d2-edge");
        member.changeSetting("retryShare", "0.15");
        awaitLogged(member, "taken=[retryShare]");
        assertThat(member.process.isAlive()).isTrue();
    }

    /** Waits until the member accepts no more connections; connections that are already open stay usable. */
    private static void awaitConnectionsRefused(final FleetMember member) {
        Fleet.waitUntil(member.name + " accepts no more connections", 5000, () -> {
            try (RawClient late = new RawClient(member.http)) {
                return false;
            } catch (final IOException refused) {
                return true;
            }
        });
    }

    private static void restart(final FleetMember member) throws Exception {
        assertThat(member.process.waitFor(10, TimeUnit.SECONDS))
                .as("the process ended")
                .isTrue();
        fleet.start(member);
        fleet.awaitReady(1);
    }

    @Test
    void aStoppingNodeAnswersRequestsOnOpenConnectionsAndThenClosesThem() throws Exception {
        final FleetMember member = fleet.members().get("d2-edge");
        try (RawClient first = new RawClient(member.http);
                RawClient second = new RawClient(member.http);
                RawClient idle = new RawClient(member.http)) {
            for (final RawClient client : List.of(first, second, idle)) {
                assertThat(sendRequest(client).status()).isEqualTo(200);
            }
            member.signal("TERM");
            awaitConnectionsRefused(member);
            for (final RawClient client : List.of(first, second)) {
                final RawClient.Response response = sendRequest(client);
                assertThat(response)
                        .as("a response instead of a closed connection")
                        .isNotNull();
                assertThat(response.status()).isEqualTo(200);
                assertThat(response.header("Connection")).isEqualTo("close");
                assertThat(client.isClosedByPeer()).isTrue();
                assertThat(member.process.isAlive())
                        .as("one connection is still idle")
                        .isTrue();
            }
            assertThat(idle.isClosedWithoutReset()).as("closed, not reset").isTrue();
        }
        restart(member);
    }

    @Test
    void everyStepOfAStopIsLogged() throws Exception {
        final FleetMember member = fleet.members().get("d3-edge");
        member.signal("TERM");
        assertThat(member.process.waitFor(10, TimeUnit.SECONDS))
                .as("the process ended")
                .isTrue();
        for (final String event : List.of("shutdown_started", "shutdown_drained", "stopped")) {
            assertThat(logged(member, "event=" + event)).as(event).isTrue();
        }
        restart(member);
    }

    @Test
    void aRequestStillInFlightAtTheEndOfAStopIsAnswered() throws Exception {
        final FleetMember member = fleet.members().get("d1-edge");
        final CountDownLatch over = new CountDownLatch(1);
        try (RawClient client = new RawClient(member.http)) {
            upstream.responder = (came, out) -> over.await();
            upstream.received.clear();
            client.send(RawClient.head("GET", TARGET, KEY, RawClient.nextRequestId()) + "\r\n");
            assertThat(upstream.awaitRequest(5000)).isNotNull();
            member.signal("TERM");
            final RawClient.Response response = client.readResponse();
            assertThat(response).as("a response instead of a closed connection").isNotNull();
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.header("Spokestall-Outcome")).isEqualTo("undecided");
            assertThat(response.header("Connection")).isEqualTo("close");
        } finally {
            over.countDown();
            upstream.reset();
        }
        restart(member);
    }
}
