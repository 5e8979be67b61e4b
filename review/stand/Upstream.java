import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.function.Function;

/** A sound upstream: works on some requests at a time, queues a few, turns others away as not executed. */
final class Upstream implements AutoCloseable {
    private static final int QUEUE = 12;

    final String instance;
    final String service;
    final String zone;
    final int slots;
    volatile String address;
    volatile boolean draining;
    private final long workMs;
    private final Record record;
    private final ServerSocket server;
    private final Semaphore working;
    private final Semaphore accepted;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** How often each request ran here, by its id. */
    final Map<String, Integer> runs;
    /** When each request that ran here arrived, by its id. */
    final Map<String, Long> arrivedMs = new ConcurrentHashMap<>();
    /** The body of the answer to a request. */
    volatile Function<Http.Message, byte[]> answer = request -> ("done " + request.line()).getBytes();

    Upstream(
            final String instance,
            final String service,
            final String zone,
            final int slots,
            final long workMs,
            final String host,
            final Map<String, Integer> runs,
            final Record record)
            throws IOException {
        this.instance = instance;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMs = workMs;
        this.record = record;
        this.runs = runs;
        this.working = new Semaphore(slots, true);
        this.accepted = new Semaphore(slots + QUEUE);
        this.server = new ServerSocket(0, 200, InetAddress.getByName(host));
        this.address = host + ":" + server.getLocalPort();
        daemon(() -> {
            while (true) {
                final Socket socket = server.accept();
                sockets.add(socket);
                daemon(() -> serve(socket));
            }
        });
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(final Task task) {
        final Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (final Exception e) {
                // The connection or the stand-in has ended.
            }
        }, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void serve(final Socket socket) throws Exception {
        try (Http http = new Http(socket)) {
            for (Http.Message request = http.read(); request != null; request = http.read()) {
                answer(http, request);
            }
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(final Http http, final Http.Message request) throws Exception {
        final String id = request.field("Spokestall-Attempt-Id");
        final String expected = request.field("Spokestall-Expect-Instance");
        final long receivedMs = record.nowMs();
        final Map<String, String> fields = new TreeMap<>();
        fields.put("Spokestall-Attempt-Id", String.valueOf(id));
        if (request.line().startsWith("GET /health ")) {
            fields.put("Spokestall-Instance-Id", instance);
            http.send(draining ? "HTTP/1.1 503 Leaving" : "HTTP/1.1 200 OK", fields, new byte[0]);
            return;
        }
        if (expected != null && !expected.equals(instance)) {
            http.send("HTTP/1.1 421 Misdirected", fields, new byte[0]);
            return;
        }
        if (!accepted.tryAcquire()) {
            fields.put("Spokestall-Not-Executed", "full");
            http.send("HTTP/1.1 503 Full", fields, new byte[0]);
            return;
        }
        try {
            working.acquire();
            try {
                arrivedMs.put(String.valueOf(id), receivedMs);
                runs.merge(String.valueOf(id), 1, Integer::sum);
                record.line("run " + id + " at " + instance + " (" + request.line() + ", " + request.body().length + " bytes)");
                Thread.sleep(workMs);
            } finally {
                working.release();
            }
        } finally {
            accepted.release();
        }
        fields.put("Spokestall-Upstream-Stamp", "s-" + instance + "-" + id);
        http.send("HTTP/1.1 200 OK", fields, answer.apply(request));
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (final Socket socket : sockets) {
            socket.close();
        }
    }
}
