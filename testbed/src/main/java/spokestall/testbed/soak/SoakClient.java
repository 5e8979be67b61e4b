package spokestall.testbed.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.Fleet;
import spokestall.testbed.fleet.FleetMember;
import spokestall.testbed.fleet.RawClient;

/**
 * A client that sends sequential requests on one connection for as long as the edge keeps it open, also while the edge's process stops or
 * is killed, and then reconnects. Runs on a thread of its own.
 */
final class SoakClient implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAUSE_MAX_MS = 150;
    private static final long CONNECT_PAUSE_MS = 50;
    private static final String NOT_RUN = "not-run";

    private final Fleet fleet;
    private final List<FleetMember> edges;
    private final List<Deployment.RequestKind> kinds;
    private final Random random;
    private final BooleanSupplier keepRunning;
    private final Consumer<SoakExchange> onExchange;

    SoakClient(
            final Fleet fleet,
            final List<Deployment.RequestKind> kinds,
            final long seed,
            final BooleanSupplier keepRunning,
            final Consumer<SoakExchange> onExchange) {
        this.fleet = fleet;
        this.edges = fleet.members().values().stream().filter(m -> !m.core).toList();
        this.kinds = kinds;
        this.random = new Random(seed);
        this.keepRunning = keepRunning;
        this.onExchange = onExchange;
    }

    @Override
    public void run() {
        while (keepRunning.getAsBoolean()) {
            final FleetMember edge = edges.get(random.nextInt(edges.size()));
            final Process process = edge.process;
            final Deployment.RequestKind kind = kinds.get(random.nextInt(kinds.size()));
            final String ticket = ticket(edge, kind);
            try (RawClient connection = new RawClient(edge.http)) {
                sendRequests(connection, process.pid(), kind, ticket);
            } catch (final IOException refused) {
                Fleet.pause(CONNECT_PAUSE_MS);
            }
        }
    }

    private String ticket(final FleetMember edge, final Deployment.RequestKind kind) {
        return fleet.call(
                        edge.http,
                        "where",
                        JSON.createObjectNode().put("client", "soak").put("key", kind.key()))
                .path("result")
                .path("ticket")
                .asText();
    }

    private void sendRequests(
            final RawClient connection, final long pid, final Deployment.RequestKind kind, final String ticket)
            throws IOException {
        boolean open = true;
        while (open && keepRunning.getAsBoolean()) {
            open = exchange(connection, pid, kind, ticket);
            Fleet.pause(random.nextInt(PAUSE_MAX_MS));
        }
    }

    /** Sends one request and reads the response; returns whether the connection may be reused. */
    private boolean exchange(
            final RawClient connection, final long pid, final Deployment.RequestKind kind, final String ticket)
            throws IOException {
        final String own = "soak-" + RawClient.nextRequestId();
        final String requestId = kind.runOnce() ? ticket + "." + own : own;
        final String body = kind.runOnce() ? "pay " + own : "";
        final long sendStartMs = System.currentTimeMillis();
        try {
            connection.send(RawClient.head(kind.runOnce() ? "POST" : "GET", kind.path(), kind.key(), requestId)
                    + (kind.runOnce() ? "Content-Length: " + body.length() + "\r\n" : "")
                    + "\r\n"
                    + body);
        } catch (final IOException closed) {
            record(requestId, kind, pid, SoakExchange.End.CLOSED, null, sendStartMs);
            return false;
        }
        final long sentMs = System.currentTimeMillis();
        try {
            final RawClient.Response response = connection.readResponse();
            if (response == null) {
                record(requestId, kind, pid, SoakExchange.End.CLOSED, null, sentMs);
                return false;
            }
            record(requestId, kind, pid, end(response, requestId), response.resultCode(), sentMs);
            return !"close".equalsIgnoreCase(response.header("Connection"));
        } catch (final SocketTimeoutException silent) {
            record(requestId, kind, pid, SoakExchange.End.SILENT, null, sentMs);
        } catch (final IOException closed) {
            record(requestId, kind, pid, SoakExchange.End.CLOSED, null, sentMs);
        }
        return false;
    }

    private static SoakExchange.End end(final RawClient.Response response, final String requestId) {
        if (response.status() == 200) {
            return response.body().contains("\"" + requestId + "\"") ? SoakExchange.End.RAN : SoakExchange.End.WRONG;
        }
        return NOT_RUN.equals(response.header("Spokestall-Outcome"))
                ? SoakExchange.End.NOT_RUN
                : SoakExchange.End.UNDECIDED;
    }

    private void record(
            final String requestId,
            final Deployment.RequestKind kind,
            final long pid,
            final SoakExchange.End end,
            final String code,
            final long sentMs) {
        onExchange.accept(
                new SoakExchange(requestId, kind.runOnce(), pid, end, code, sentMs, System.currentTimeMillis()));
    }
}
