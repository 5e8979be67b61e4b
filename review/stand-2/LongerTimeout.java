import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An operator raises the timeoutMs of a download route; clients fetch from one node at the usual rate, and other clients ask that node
 * afterwards. Argument: the record's file. Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case couldn't run.
 */
final class LongerTimeout {
    /** The statement-pdf requests a second of the small deployment. */
    private static final int PER_SECOND = 15;

    private static final int DOWNLOADS = 30 * PER_SECOND;
    /** The largest answer of a statement-pdf at the small deployment. */
    private static final int ANSWER_BYTES = 540_000;

    private static final long CLIENT_DEADLINE_MS = 30_000;
    private static final long OLD_TIMEOUT_MS = 2500;
    private static final long NEW_TIMEOUT_MS = 30_000;
    private static final int CHECKS = 24;

    private LongerTimeout() {}

    public static void main(final String[] args) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final int result;
        try (Stand stand = new Stand(Path.of(args[0]))) {
            result = play(stand, trouble);
        }
        System.exit(result);
    }

    private static int play(final Stand stand, final boolean trouble) throws Exception {
        for (int i = 0; i < 24; i++) {
            stand.addUpstream("transfer-desk", Stand.ZONES[i % 6][0], 3, stand.sound(160, 400));
            if (i < 12) {
                stand.addUpstream("records-desk", Stand.ZONES[i % 6][0], 3, stand.sound(130, ANSWER_BYTES));
            }
        }
        final boolean up = stand.start(
                0,
                Stand.configuration(
                        1,
                        List.of(
                                Stand.route("r-statement", "/statement/", "download", "records-desk", OLD_TIMEOUT_MS),
                                Stand.route("r-status", "/status/", "idempotent", "transfer-desk", OLD_TIMEOUT_MS)),
                        List.of(Stand.service("transfer-desk"), Stand.service("records-desk")),
                        8));
        if (!up) {
            stand.note("the nodes did not start");
            return 2;
        }
        final Stand.Node target = stand.nodes.get(1);
        stand.note("all requests go to %s", target.name);
        if (unanswered(stand, target, "before") > 0) {
            stand.note("the node does not serve before the change");
            return 2;
        }
        if (trouble) {
            final int status = stand.orderUntilClear(
                    "config.update",
                    1,
                    "{\"configVersion\":2,\"upsert\":{\"routes\":["
                            + Stand.route("r-statement", "/statement/", "download", "records-desk", NEW_TIMEOUT_MS)
                            + "]},\"remove\":{}}",
                    6000);
            if (status != 200) {
                stand.note("the change was not acknowledged");
                return 2;
            }
        }
        Stand.pause(4000);

        final AtomicInteger whole = new AtomicInteger();
        final List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < DOWNLOADS; i++) {
            final int number = i;
            clients.add(begin(() -> {
                final Stand.Answer answer = get(stand, target, "/statement/" + number, number, CLIENT_DEADLINE_MS, 12_000, "load");
                if (answer.status() == 200 && answer.body().length == ANSWER_BYTES) {
                    whole.incrementAndGet();
                }
            }));
            Stand.pause(1000 / PER_SECOND);
        }
        for (final Thread client : clients) {
            client.join();
        }
        stand.note("downloads: %d of %d complete", whole.get(), DOWNLOADS);
        // Longer than contactMs: no order and no download is under way any more.
        Stand.pause(6000);

        final int unanswered = unanswered(stand, target, "after");
        stand.note("%s: process runs %s, ready %s", target.name, target.process.isAlive(), target.ready());
        stand.note("its log: %s", target.logged("OutOfMemoryError", "event=fault"));
        stand.note("no final answer %d ms after the request: %d of %d", OLD_TIMEOUT_MS + 500, unanswered, CHECKS);
        final boolean broken = unanswered >= 8 && unanswered * 4 > CHECKS;
        stand.note("CONFIG %s", broken ? "is broken" : "holds");
        return broken ? 1 : 0;
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
                if (get(stand, target, "/status/" + number, number, OLD_TIMEOUT_MS, (int) OLD_TIMEOUT_MS + 500, when).status() == 0) {
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

    private static Stand.Answer get(
            final Stand stand,
            final Stand.Node target,
            final String path,
            final int number,
            final long deadlineMs,
            final int silenceMs,
            final String when) {
        final String id = stand.nextId();
        final long from = stand.nowMs();
        final Stand.Answer answer = stand.call(
                target.frontend(), "GET", path, stand.clientHeaders(id, Stand.key(number % 8), deadlineMs), null, silenceMs);
        stand.note(
                "%s: GET %s sent at %.3f: %d with %d bytes %s after %d ms, run %d times",
                when,
                path,
                from / 1000.0,
                answer.status(),
                answer.body().length,
                answer.note(),
                stand.nowMs() - from,
                stand.arrivalsOf(id));
        return answer;
    }
}
