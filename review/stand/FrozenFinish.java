import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine without a disk freezes for three seconds. The operator's `evacuation.finish` meets it, gets no answer for a second and is sent
 * again to another machine, which acknowledges it; then the operator evacuates the zone anew, acknowledged too. The check looks at
 * what the zone's upstreams run later than `evacuateMs` after that.
 */
final class FrozenFinish extends Case {
    private static final long EVACUATE_MS = 5000;
    private static final long FREEZE_MS = 3000;
    private static final long FREEZE_MAX_MS = 3500;
    private static final long WATCHED_MS = 20_000;
    private static final int REQUESTS_PER_S = 60;
    private static final String ZONE = "za";
    private static final String BEGIN = "/-/rpc?call=evacuation.begin&of=" + ZONE;
    private static final String FINISH = "/-/rpc?call=evacuation.finish&of=" + ZONE;

    private final Random random = new Random(1);
    private final AtomicInteger ids = new AtomicInteger();
    /** The machine that each request was sent to. */
    private final Map<String, Fleet.Node> sentTo = new ConcurrentHashMap<>();

    private Fleet.Node frozen;

    public static void main(final String[] arguments) {
        new FrozenFinish().main(arguments, 6, 6);
    }

    @Override
    int play() throws Exception {
        addUpstreams("desk", 24, 3, 60, 6);
        startWith(Config.whole(1, List.of(Config.route("lookup", "idempotent", "desk", 2500)), List.of("desk")));
        // The frozen machine has no disk, so the core stays settled; it is in another zone than the evacuated one.
        frozen = nodes().get(7);
        final List<String> others = nodes().stream()
                .filter(node -> node != frozen)
                .map(node -> fleet.control(node))
                .toList();
        final ScheduledExecutorService threads = Executors.newScheduledThreadPool(100);
        threads.scheduleAtFixedRate(() -> threads.execute(this::request), 0, 1_000_000 / REQUESTS_PER_S, TimeUnit.MICROSECONDS);
        if (operator.order(others, BEGIN, 0, "", 6000) != 200) {
            return NOT_RUN;
        }
        Thread.sleep(8000);
        final long frozenMs = record.nowMs();
        if (trouble) {
            fleet.signal(frozen, "STOP");
            record.line("froze " + frozen.name);
        }
        // As all who call: a second of silence, then another machine.
        if (operator.call(fleet.control(frozen), FINISH, Map.of(), new byte[0]) == null
                && operator.order(others, FINISH, 0, "", 6000) != 200) {
            return NOT_RUN;
        }
        Thread.sleep(200);
        if (operator.order(others, BEGIN, 0, "", 6000) != 200) {
            return NOT_RUN;
        }
        final long evacuatedMs = record.nowMs();
        record.line("the evacuation is acknowledged; the operator sends no further order");
        if (trouble) {
            Thread.sleep(Math.max(0, frozenMs + FREEZE_MS - record.nowMs()));
            fleet.signal(frozen, "CONT");
            final long lastedMs = record.nowMs() - frozenMs;
            record.line("thawed " + frozen.name + " after " + lastedMs + " ms");
            if (lastedMs > FREEZE_MAX_MS) {
                verdict("the freeze lasted too long: " + lastedMs + " ms");
                return NOT_RUN;
            }
        }
        Thread.sleep(WATCHED_MS);
        threads.shutdownNow();
        final long late = platform.upstreams.stream()
                .filter(upstream -> upstream.zone.equals(ZONE))
                .flatMap(upstream -> upstream.arrivedMs.entrySet().stream())
                .filter(arrival -> arrival.getValue() > evacuatedMs + EVACUATE_MS && sentTo.get(arrival.getKey()) != frozen)
                .count();
        verdict(ids + " requests; " + late + " of them ran at upstreams of zone " + ZONE + " later than " + EVACUATE_MS
                + " ms after its evacuation was acknowledged, sent by machines that were never frozen");
        return late > 0 ? BROKEN : HELD;
    }

    private void request() {
        final String id = "r" + ids.incrementAndGet();
        final Fleet.Node node = nodes().get(random.nextInt(nodes().size()));
        sentTo.put(id, node);
        record.line("sent " + id + " to " + node.name);
        try (Http http = Http.connect(fleet.frontend(node), 3000)) {
            http.send("GET /lookup/" + id + " HTTP/1.1", head(id, 2500, random.nextInt(Config.TENANTS)), null);
            final Http.Message answer = http.read();
            record.line("answer " + id + " " + (answer == null ? "closed" : answer.status()));
        } catch (final IOException e) {
            record.line("answer " + id + " " + e);
        }
    }
}
