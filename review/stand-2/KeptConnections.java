import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An operator raises idleTimeoutMs; clients that keep their connections fetch from one node at half the usual rate, and other clients
 * ask that node afterwards. Argument: the record's file. Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case couldn't run.
 */
final class KeptConnections {
    /** Half of the statement-pdf requests a second of the small deployment. */
    private static final double PER_SECOND = 7.5;

    private static final int DOWNLOADS = 300;
    /** The largest answer of a statement-pdf at the small deployment. */
    private static final int ANSWER_BYTES = 540_000;

    private static final long TIMEOUT_MS = 2500;
    private static final long OLD_IDLE_MS = 15_000;
    private static final long NEW_IDLE_MS = 60_000;
    private static final int CHECKS = 24;

    private KeptConnections() {}

    public static void main(final String[] args) {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(Stand.guarded(() -> {
            try (Stand stand = new Stand(Path.of(args[0]))) {
                return play(stand, trouble);
            }
        }));
    }

    private static String configuration(final long version, final long idleMs) {
        return Stand.configuration(
                        version,
                        List.of(
                                Stand.route("r-statement", "/statement/", "download", "records-desk", TIMEOUT_MS),
                                Stand.route("r-status", "/status/", "idempotent", "transfer-desk", TIMEOUT_MS)),
                        List.of(Stand.service("transfer-desk"), Stand.service("records-desk")),
                        8)
                .replace("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":" + idleMs);
    }

    private static int play(final Stand stand, final boolean trouble) throws Exception {
        for (int i = 0; i < 24; i++) {
            stand.addUpstream("transfer-desk", Stand.ZONES[i % 6][0], 3, stand.sound(160, 400));
            if (i < 12) {
                stand.addUpstream("records-desk", Stand.ZONES[i % 6][0], 3, stand.sound(130, ANSWER_BYTES));
            }
        }
        if (!stand.start(0, configuration(1, OLD_IDLE_MS))) {
            stand.note("the nodes did not start");
            return 2;
        }
        final Stand.Node target = stand.nodes.get(1);
        stand.note("all requests go to %s", target.name);
        if (unanswered(stand, target, "before") > 0) {
            stand.note("the node does not serve before the change");
            return 2;
        }
        if (trouble && stand.orderUntilClear("config.replace", 1, configuration(2, NEW_IDLE_MS), 6000) != 200) {
            stand.note("the change was not acknowledged");
            return 2;
        }
        Stand.pause(4000);

        // A client leaves a connection that has rested for four fifths of idleTimeoutMs.
        final long restMs = (trouble ? NEW_IDLE_MS : OLD_IDLE_MS) * 4 / 5;
        final AtomicInteger whole = new AtomicInteger();
        final AtomicInteger kept = new AtomicInteger();
        final long from = stand.nowMs();
        final long end = from + (long) (1000 * DOWNLOADS / PER_SECOND) + 3000;
        final List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < DOWNLOADS; i++) {
            final int number = i;
            clients.add(begin(() -> {
                if (download(stand, target, number, restMs, end, kept)) {
                    whole.incrementAndGet();
                }
            }));
            Stand.pause(Math.max(0, from + (long) (1000 * (i + 1) / PER_SECOND) - stand.nowMs()));
        }
        for (final Thread client : clients) {
            client.join();
        }
        stand.note("downloads: %d of %d complete", whole.get(), DOWNLOADS);
        // Longer than contactMs: no order is under way any more, and all these clients have closed their connections.
        Stand.pause(6000);

        final int unanswered = unanswered(stand, target, "after");
        stand.note("%s: process runs %s, ready %s", target.name, target.process.isAlive(), target.ready());
        stand.note("its log: %s", target.logged("OutOfMemoryError", "event=fault"));
        stand.note("no final answer %d ms after the request: %d of %d", TIMEOUT_MS + 500, unanswered, CHECKS);
        final boolean broken = unanswered >= 8 && unanswered * 4 > CHECKS;
        stand.note("CONFIG %s", broken ? "is broken" : "holds");
        return broken ? 1 : 0;
    }

    private static boolean download(
            final Stand stand,
            final Stand.Node target,
            final int number,
            final long restMs,
            final long endMs,
            final AtomicInteger kept) {
        final String id = stand.nextId();
        final long from = stand.nowMs();
        boolean complete = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(target.ip, stand.port + 1), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) TIMEOUT_MS + 500);
            final Stand.Answer answer = Stand.exchange(
                    socket, "GET", "/statement/" + number, stand.clientHeaders(id, Stand.key(number % 8), TIMEOUT_MS), null);
            complete = answer.status() == 200 && answer.body().length == ANSWER_BYTES;
            stand.note(
                    "statement %d: %d with %d bytes %s after %d ms, run %d times; connections kept %d",
                    number,
                    answer.status(),
                    answer.body().length,
                    answer.note(),
                    stand.nowMs() - from,
                    stand.arrivalsOf(id),
                    kept.incrementAndGet());
            if (complete) {
                Stand.pause(Math.max(0, Math.min(restMs, endMs - stand.nowMs())));
            }
            kept.decrementAndGet();
        } catch (final IOException e) {
            stand.note("statement %d: %s after %d ms, run %d times", number, e, stand.nowMs() - from, stand.arrivalsOf(id));
        }
        return complete;
    }

    private static Thread begin(final Runnable task) {
        final Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    /** Sends ordinary requests; returns how many have no final answer half a second past the route's timeoutMs. */
    private static int unanswered(final Stand stand, final Stand.Node target, final String when) throws Exception {
        final AtomicInteger without = new AtomicInteger();
        final List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CHECKS; i++) {
            final int number = i;
            clients.add(begin(() -> {
                final String id = stand.nextId();
                final long from = stand.nowMs();
                final Stand.Answer answer = stand.call(
                        target.frontend(),
                        "GET",
                        "/status/" + number,
                        stand.clientHeaders(id, Stand.key(number % 8), TIMEOUT_MS),
                        null,
                        (int) TIMEOUT_MS + 500);
                stand.note(
                        "%s: status %d: %d %s after %d ms, run %d times",
                        when, number, answer.status(), answer.note(), stand.nowMs() - from, stand.arrivalsOf(id));
                // An early reset is no request that lasts longer than its route's timeoutMs.
                if (answer.status() == 0 && stand.nowMs() - from >= TIMEOUT_MS + 500) {
                    without.incrementAndGet();
                }
            }));
            Stand.pause(200);
        }
        for (final Thread client : clients) {
            client.join();
        }
        return without.get();
    }
}
