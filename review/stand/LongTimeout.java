import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A configuration change raises the timeout of the route of large downloads; clients go on downloading at the same rate. The check looks
 * at the requests on another route, whose timeout stays as it was.
 */
final class LongTimeout extends Case {
    /** The greatest answer of the kind `statement-pdf` in the small deployment's site file. */
    private static final int ANSWER_BYTES = 540_000;

    private static final int DOWNLOADS_PER_S = 15;
    private static final int LOOKUPS_PER_S = 15;
    private static final long DOWNLOAD_DEADLINE_MS = 60_000;
    private static final long LOOKUP_DEADLINE_MS = 4000;
    private static final long LOOKUP_TIMEOUT_MS = 2500;
    private static final long SHORT_TIMEOUT_MS = 2500;
    private static final long LONG_TIMEOUT_MS = 60_000;
    private static final long TRAFFIC_MS = 75_000;
    private static final int FEW = 8;

    private final Random random = new Random(1);
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger lookups = new AtomicInteger();

    public static void main(final String[] arguments) {
        new LongTimeout().main(arguments, 3, 0);
    }

    @Override
    int play() throws Exception {
        addUpstreams("desk", 6, 3, 60, 3);
        addUpstreams("records", 6, 3, 130, 3);
        final byte[] answer = new byte[ANSWER_BYTES];
        platform.upstreams.forEach(u -> u.answer = r -> r.line().startsWith("GET /pdf/") ? answer : "done".getBytes());
        startWith(Config.whole(
                1,
                List.of(
                        Config.route("lookup", "idempotent", "desk", LOOKUP_TIMEOUT_MS),
                        Config.route("pdf", "download", "records", SHORT_TIMEOUT_MS)),
                List.of("desk", "records")));
        final ScheduledExecutorService threads = Executors.newScheduledThreadPool(600);
        threads.scheduleAtFixedRate(() -> threads.execute(this::download), 0, 1_000_000 / DOWNLOADS_PER_S, TimeUnit.MICROSECONDS);
        threads.scheduleAtFixedRate(() -> threads.execute(this::lookUp), 0, 1_000_000 / LOOKUPS_PER_S, TimeUnit.MICROSECONDS);
        Thread.sleep(3000);
        if (trouble) {
            final int status = operator.order(
                    Config.controls(fleet),
                    "/-/rpc?call=config.update",
                    1,
                    Config.upsertRoutes(2, Config.route("pdf", "download", "records", LONG_TIMEOUT_MS)),
                    6000);
            verdict("timeoutMs of the route of downloads raised from " + SHORT_TIMEOUT_MS + " to " + LONG_TIMEOUT_MS + ": "
                    + status);
            if (status != 200) {
                return NOT_RUN;
            }
        }
        Thread.sleep(TRAFFIC_MS);
        threads.shutdownNow();
        for (final Fleet.Node node : nodes()) {
            verdict(node.name + ": process " + (node.process.isAlive() ? "runs" : "ended by itself") + ", "
                    + fleet.logged(node, "OutOfMemoryError") + " lines of its log name OutOfMemoryError");
        }
        verdict(lookups + " requests on the route with the unchanged timeout of " + LOOKUP_TIMEOUT_MS + " ms; " + late
                + " unanswered at the timeout, " + unanswered + " of them 0.5 s later");
        return late.get() >= FEW && 2 * unanswered.get() > late.get() ? BROKEN : HELD;
    }

    private Fleet.Node anyNode() {
        return nodes().get(random.nextInt(nodes().size()));
    }

    private void download() {
        final String id = "d" + ids.incrementAndGet();
        final Fleet.Node node = anyNode();
        record.line("sent " + id + " GET /pdf/ to " + node.name);
        try (Http http = Http.connect(fleet.frontend(node), (int) DOWNLOAD_DEADLINE_MS)) {
            http.send("GET /pdf/" + id + " HTTP/1.1", head(id, DOWNLOAD_DEADLINE_MS, random.nextInt(Config.TENANTS)), null);
            final Http.Message answer = http.read();
            record.line("answer " + id + " " + (answer == null ? "closed" : answer.status() + ", " + answer.body().length + " bytes"));
        } catch (final IOException e) {
            record.line("answer " + id + " " + e);
        }
    }

    private void lookUp() {
        final String id = "l" + ids.incrementAndGet();
        final Fleet.Node node = anyNode();
        try (Http http = Http.connect(fleet.frontend(node), (int) LOOKUP_DEADLINE_MS)) {
            final long sentMs = record.nowMs();
            record.line("sent " + id + " GET /lookup/ to " + node.name);
            http.send("GET /lookup/" + id + " HTTP/1.1", head(id, LOOKUP_DEADLINE_MS, random.nextInt(Config.TENANTS)), null);
            lookups.incrementAndGet();
            String end;
            try {
                final Http.Message answer = http.read();
                end = answer == null ? "closed" : Integer.toString(answer.status());
            } catch (final IOException e) {
                end = e.toString();
            }
            final long tookMs = record.nowMs() - sentMs;
            record.line("answer " + id + " " + end + " after " + tookMs + " ms");
            if (tookMs >= LOOKUP_TIMEOUT_MS) {
                late.incrementAndGet();
                if (tookMs >= LOOKUP_TIMEOUT_MS + 500) {
                    unanswered.incrementAndGet();
                }
            }
        } catch (final IOException e) {
            record.line("no connection for " + id + ": " + e);
        }
    }
}
