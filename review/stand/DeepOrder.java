import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator sends one invalid configuration: a route names an unknown service, and in place of the service's name stand deeply nested
 * objects. It is sent again to one machine after another until there is a clear answer. The check looks at clients' requests, and at the
 * reading back.
 */
final class DeepOrder extends Case {
    private static final int DEPTH = Integer.getInteger("depth", 950);
    private static final long TIMEOUT_MS = 2500;
    private static final long DEADLINE_MS = 4000;
    private static final long CONTACT_MS = 5000;
    private static final int REQUESTS_PER_S = 30;
    private static final int FEW = 8;

    private final Random random = new Random(1);
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    public static void main(final String[] arguments) {
        new DeepOrder().main(arguments, 6, 0);
    }

    @Override
    int play() throws Exception {
        addUpstreams("desk", 12, 3, 60, 6);
        final String route = Config.route("lookup", "idempotent", "desk", TIMEOUT_MS);
        startWith(Config.whole(1, List.of(route), List.of("desk")));
        final ScheduledExecutorService threads = Executors.newScheduledThreadPool(300);
        threads.scheduleAtFixedRate(() -> threads.execute(this::request), 0, 1_000_000 / REQUESTS_PER_S, TimeUnit.MICROSECONDS);
        Thread.sleep(5000);
        final String order = Config.route("bad", "idempotent", "unknown", TIMEOUT_MS);
        final String nested = "{\"a\":".repeat(DEPTH) + "1" + "}".repeat(DEPTH);
        final String body = Config.upsertRoutes(2, trouble ? order.replace("\"unknown\"", nested) : order);
        record.line("the invalid order has " + body.length() + " bytes");
        final int status = operator.order(
                Config.controls(fleet), "/-/rpc?call=config.update", 1, body, 20_000);
        verdict("the invalid order was " + (status == 0 ? "never answered" : "answered " + status));
        Thread.sleep(15_000);
        threads.shutdownNow();
        boolean readBack = false;
        final long untilMs = record.nowMs() + 2 * CONTACT_MS;
        for (int i = 0; !readBack && record.nowMs() < untilMs; i++) {
            final Http.Message answer = operator.call(
                    fleet.control(nodes().get(i % nodes().size())), "/-/rpc?call=config.read", Map.of(), new byte[0]);
            readBack = answer != null && answer.status() == 200;
        }
        for (final Fleet.Node node : nodes()) {
            verdict(node.name + ": process " + (node.process.isAlive() ? "runs" : "ended by itself") + ", "
                    + fleet.logged(node, "StackOverflowError") + " lines of its log name StackOverflowError");
        }
        verdict(ids + " requests; " + late + " unanswered at the route's timeout of " + TIMEOUT_MS + " ms, " + unanswered
                + " of them 0.5 s later; the configuration " + (readBack ? "comes" : "does not come") + " when read back");
        return !readBack || late.get() >= FEW && 2 * unanswered.get() > late.get() ? BROKEN : HELD;
    }

    private void request() {
        final String id = "r" + ids.incrementAndGet();
        final Fleet.Node node = nodes().get(random.nextInt(nodes().size()));
        try (Http http = Http.connect(fleet.frontend(node), (int) DEADLINE_MS)) {
            final long sentMs = record.nowMs();
            record.line("sent " + id + " to " + node.name);
            http.send("GET /lookup/" + id + " HTTP/1.1", head(id, DEADLINE_MS, random.nextInt(Config.TENANTS)), null);
            String end;
            try {
                final Http.Message answer = http.read();
                end = answer == null ? "closed" : Integer.toString(answer.status());
            } catch (final IOException e) {
                end = e.toString();
            }
            final long tookMs = record.nowMs() - sentMs;
            record.line("answer " + id + " " + end + " after " + tookMs + " ms");
            if (tookMs >= TIMEOUT_MS) {
                late.incrementAndGet();
                if (tookMs >= TIMEOUT_MS + 500) {
                    unanswered.incrementAndGet();
                }
            }
        } catch (final IOException e) {
            record.line("no connection for " + id + ": " + e);
        }
    }
}
