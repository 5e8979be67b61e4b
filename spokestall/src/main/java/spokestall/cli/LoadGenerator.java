package spokestall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import spokestall.configuration.ConfigurationStore;
import spokestall.io.http.HttpCall;
import spokestall.io.http.HttpClient;
import spokestall.io.http.HttpResult;

/** The load generator: clients that ask where to go, then ask, at a set rate, and a verdict at the end. */
final class LoadGenerator {
    private static final int ANSWER_MAX = 16 << 20;
    private static final String WRONG = "wrong-answer";

    /** The flags. */
    static final class Flags {
        @Option(name = "--to", required = true, metaVar = "IP:PORT,...", usage = "nodes to ask where to go")
        private String to;

        @Option(name = "--plan", required = true, metaVar = "FILE", usage = "JSON list of {key, path, runOnce, weight}")
        private Path plan;

        @Option(name = "--rate", usage = "asks a second")
        private double rate = 200;

        @Option(name = "--seconds", usage = "how long")
        private int seconds = 20;

        @Option(name = "--clients", usage = "how many clients ask in turn")
        private int clients = 200;

        @Option(name = "--deadlineMs", usage = "each ask's span")
        private long deadlineMs = 5000;

        @Option(name = "--least", usage = "share of asks that must run for a good verdict")
        private double least = 0.99;

        @Option(name = "--seed", usage = "seed of the order of asks")
        private long seed = 1;

        @Option(
                name = "--echo",
                usage = "answers are JSON whose answerTo must be the ask's id; any other is a bad verdict")
        private boolean echo;

        @Option(name = "--record", metaVar = "FILE", usage = "writes a line for each answer: id, outcome, code, time")
        private Path record;

        @Option(name = "--help", help = true, usage = "this page")
        private boolean help;
    }

    private record Kind(String key, String path, boolean runOnce, int weight) {}

    private record Place(List<String> edges, String ticket, long untilMs) {}

    private final Flags flags;
    private final HttpClient client = client(4);
    private final List<Kind> kinds = new ArrayList<>();
    private final Map<String, Place> places = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> told = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> byEdge = new ConcurrentHashMap<>();
    private final List<Long> spentMs = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, String> named = new ConcurrentHashMap<>();
    private final AtomicInteger again = new AtomicInteger();
    private final CountDownLatch left;
    private final int total;
    private final Queue<String> recorded = new ConcurrentLinkedQueue<>();

    private LoadGenerator(final Flags flags) throws IOException {
        this.flags = flags;
        this.total = (int) (flags.rate * flags.seconds);
        this.left = new CountDownLatch(total);
        for (final JsonNode k : ConfigurationStore.JSON.readTree(flags.plan.toFile())) {
            for (int i = 0; i < k.path("weight").asInt(1); i++) {
                kinds.add(new Kind(
                        k.path("key").asText(),
                        k.path("path").asText(),
                        k.path("runOnce").asBoolean(),
                        1));
            }
        }
    }

    static HttpClient client(final int threads) {
        try {
            return new HttpClient(
                    Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, threads)),
                    new DefaultByteBufferPool(true, 16 << 10),
                    1000);
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static int run(final String[] args) throws Exception {
        final Flags flags = new Flags();
        final CmdLineParser parser = new CmdLineParser(flags);
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException e) {
            if (Arrays.asList(args).contains("--help")) {
                parser.printUsage(System.out);
                return 0;
            }
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            return 2;
        }
        if (flags.help) {
            parser.printUsage(System.out);
            return 0;
        }
        try {
            return new LoadGenerator(flags).drive();
        } catch (final IOException e) {
            System.err.println("--plan or --record: " + e.getMessage().split("\n")[0]);
            return 2;
        }
    }

    private int drive() throws InterruptedException, IOException {
        final Random random = new Random(flags.seed);
        final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        final String run = Long.toHexString(System.currentTimeMillis());
        for (int i = 0; i < total; i++) {
            final Kind kind = kinds.get(random.nextInt(kinds.size()));
            final String who = "client-" + random.nextInt(flags.clients);
            final String requestId = run + "-" + i;
            final ScheduledFuture<?> unused = timer.schedule(
                    () -> ask(timer, kind, who, requestId, 0, nowMs()),
                    (long) (i * 1000 / flags.rate),
                    TimeUnit.MILLISECONDS);
        }
        left.await(flags.seconds * 1000L + 4 * flags.deadlineMs, TimeUnit.MILLISECONDS);
        timer.shutdownNow();
        if (flags.record != null) {
            Files.write(flags.record, List.copyOf(recorded));
        }
        return verdict();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private void ask(
            final ScheduledExecutorService timer,
            final Kind kind,
            final String who,
            final String requestId,
            final int turn,
            final long begunMs) {
        final String place = who + "/" + kind.key;
        final Place known = places.get(place);
        if (known != null && nowMs() < known.untilMs) {
            send(timer, kind, who, requestId, turn, begunMs, known);
            return;
        }
        final String[] nodes = flags.to.split(",");
        final String node = nodes[Math.floorMod(requestId.hashCode() + turn, nodes.length)];
        final ObjectNode params =
                ConfigurationStore.JSON.createObjectNode().put("client", who).put("key", kind.key);
        client.call(
                HttpCall.plain(
                        node,
                        "POST",
                        "/rpc/where",
                        Map.of("Content-Type", "application/json"),
                        params.toString().getBytes(StandardCharsets.UTF_8),
                        1000,
                        ANSWER_MAX),
                r -> {
                    final Place found = place(r);
                    if (found != null) {
                        places.put(place, found);
                        send(timer, kind, who, requestId, turn, begunMs, found);
                    } else {
                        later(timer, kind, who, requestId, turn, begunMs, "nowhere", 300);
                    }
                });
    }

    private static Place place(final HttpResult result) {
        try {
            if (result instanceof HttpResult.Whole whole && whole.status() == 200) {
                final JsonNode r =
                        ConfigurationStore.JSON.readTree(whole.body()).path("result");
                final List<String> edges = new ArrayList<>();
                r.path("edges").forEach(e -> edges.add(e.path("address").asText()));
                return new Place(
                        edges,
                        r.path("ticket").asText(),
                        nowMs() + r.path("forMs").asLong());
            }
        } catch (final IOException e) {
            return null;
        }
        return null;
    }

    private void send(
            final ScheduledExecutorService timer,
            final Kind kind,
            final String who,
            final String requestId,
            final int turn,
            final long begunMs,
            final Place place) {
        final long spanMs = flags.deadlineMs - (nowMs() - begunMs);
        if (spanMs <= 0) {
            end("out-of-time", begunMs, null);
            return;
        }
        final String edge = place.edges.get(turn % place.edges.size());
        final Map<String, String> headers = new TreeMap<>();
        headers.put("Spokestall-Key", kind.key);
        // A run-once ask is named by the ticket of its first go, and keeps that name.
        final String name = kind.runOnce ? named.computeIfAbsent(requestId, a -> place.ticket + "." + a) : requestId;
        headers.put("Spokestall-Ask-Id", name);
        headers.put("Spokestall-Deadline-Ms", Long.toString(spanMs));
        final byte[] body =
                kind.runOnce ? ("{\"do\":\"" + requestId + "\"}").getBytes(StandardCharsets.UTF_8) : new byte[0];
        client.call(
                HttpCall.plain(edge, kind.runOnce ? "POST" : "GET", kind.path, headers, body, spanMs + 500, ANSWER_MAX),
                r -> {
                    if (r instanceof HttpResult.Whole whole) {
                        final String outcome = whole.header("Spokestall-Outcome");
                        if (flags.record != null) {
                            recorded.add(name + " " + outcome + " " + whole.header("Spokestall-Code") + " "
                                    + System.currentTimeMillis());
                        }
                        if ("ran".equals(outcome)
                                && flags.echo
                                && whole.status() == 200
                                && !echoes(whole.body(), name)) {
                            end(WRONG, begunMs, edge);
                            return;
                        }
                        if ("ran".equals(outcome)) {
                            end(whole.status() < 500 ? "ran" : "ran-" + whole.status(), begunMs, edge);
                            return;
                        }
                        final String code = whole.header("Spokestall-Code");
                        places.remove(who + "/" + kind.key);
                        if ("not-run".equals(outcome) || !kind.runOnce) {
                            final String after = whole.header("Retry-After");
                            later(
                                    timer,
                                    kind,
                                    who,
                                    requestId,
                                    turn,
                                    begunMs,
                                    outcome + "-" + code,
                                    after == null ? 100 : 1000 * Long.parseLong(after));
                        } else {
                            end(outcome + "-" + code, begunMs, edge);
                        }
                    } else if (r instanceof HttpResult.NotSent || !kind.runOnce) {
                        places.remove(who + "/" + kind.key);
                        later(timer, kind, who, requestId, turn, begunMs, "unreached", 100);
                    } else {
                        end("no-answer", begunMs, edge);
                    }
                });
    }

    private static boolean echoes(final byte[] body, final String name) {
        try {
            final JsonNode read = ConfigurationStore.JSON.readTree(body);
            return read != null && read.path("answerTo").asText().equals(name);
        } catch (final IOException e) {
            return false;
        }
    }

    private void later(
            final ScheduledExecutorService timer,
            final Kind kind,
            final String who,
            final String requestId,
            final int turn,
            final long begunMs,
            final String why,
            final long waitMs) {
        if (turn >= 4 || nowMs() + waitMs - begunMs >= flags.deadlineMs || timer.isShutdown()) {
            end(why, begunMs, null);
            return;
        }
        again.incrementAndGet();
        final ScheduledFuture<?> unused = timer.schedule(
                () -> ask(timer, kind, who, requestId, turn + 1, begunMs), waitMs, TimeUnit.MILLISECONDS);
    }

    private void end(final String how, final long begunMs, final String edge) {
        told.computeIfAbsent(how, h -> new AtomicInteger()).incrementAndGet();
        if (edge != null) {
            byEdge.computeIfAbsent(edge, e -> new AtomicInteger()).incrementAndGet();
        }
        spentMs.add(nowMs() - begunMs);
        left.countDown();
    }

    private int verdict() {
        final long ran = told.getOrDefault("ran", new AtomicInteger()).get();
        final List<Long> sorted = new ArrayList<>(spentMs);
        Collections.sort(sorted);
        System.out.println("asks=" + total + " ended=" + sorted.size() + " again=" + again.get());
        new TreeMap<>(told).forEach((how, n) -> System.out.println("  " + how + "=" + n));
        new TreeMap<>(byEdge).forEach((edge, n) -> System.out.println("  edge " + edge + "=" + n));
        if (!sorted.isEmpty()) {
            System.out.println("spentMs p50=" + sorted.get(sorted.size() / 2) + " p99="
                    + sorted.get(Math.min(sorted.size() - 1, sorted.size() * 99 / 100)));
        }
        final double share = (double) ran / total;
        final boolean good = share >= flags.least && !told.containsKey(WRONG);
        System.out.printf("verdict=%s ranShare=%.4f least=%.4f%n", good ? "good" : "bad", share, flags.least);
        return good ? 0 : 1;
    }
}
