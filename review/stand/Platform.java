import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** The platform: the list of upstreams, and the reports of usage. */
final class Platform implements AutoCloseable {
    /** A report that arrived. */
    record Usage(long atMs, String holder, long fence, String body) {}

    final List<Upstream> upstreams = new CopyOnWriteArrayList<>();
    final List<Usage> usage = new CopyOnWriteArrayList<>();
    private final Record record;
    private final ServerSocket server;

    Platform(final String address, final Record record) throws IOException {
        this.record = record;
        final int colon = address.lastIndexOf(':');
        server = new ServerSocket(
                Integer.parseInt(address.substring(colon + 1)), 200, InetAddress.getByName(address.substring(0, colon)));
        Upstream.daemon(() -> {
            while (true) {
                final Socket socket = server.accept();
                Upstream.daemon(() -> serve(socket));
            }
        });
    }

    private void serve(final Socket socket) throws Exception {
        try (Http http = new Http(socket)) {
            for (Http.Message request = http.read(); request != null; request = http.read()) {
                final Map<String, String> fields = new TreeMap<>(Map.of("Content-Type", "application/json"));
                if (request.line().startsWith("POST /usage")) {
                    final Usage call = new Usage(
                            record.nowMs(),
                            request.field("Spokestall-Duty-Holder"),
                            Long.parseLong(request.field("Spokestall-Fence-Token")),
                            request.text());
                    usage.add(call);
                    record.line("usage " + call);
                    http.send("HTTP/1.1 200 OK", fields, "{}".getBytes());
                } else {
                    http.send("HTTP/1.1 200 OK", fields, list().getBytes());
                }
            }
        }
    }

    private String list() {
        return "{\"instances\":{"
                + upstreams.stream()
                        .collect(Collectors.groupingBy(u -> u.zone, TreeMap::new, Collectors.toList()))
                        .entrySet()
                        .stream()
                        .map(zone -> "\"" + zone.getKey() + "\":["
                                + zone.getValue().stream().map(Platform::entry).collect(Collectors.joining(","))
                                + "]")
                        .collect(Collectors.joining(","))
                + "},\"nextToken\":null}";
    }

    private static String entry(final Upstream u) {
        return "{\"service\":\"" + u.service + "\",\"address\":\"" + u.address
                + "\",\"configVersion\":\"v1\",\"capacitySlots\":" + u.slots + ",\"state\":\""
                + (u.draining ? "draining" : "ready") + "\",\"warmupLeftMs\":0,\"instanceId\":\"" + u.instance + "\"}";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
