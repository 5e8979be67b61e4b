import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * An operator adds a route whose host has capital letters; clients send requests with that very host. Argument: the record's file. Exits
 * with 1 if CONFIG was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the route's host is in small letters.
 */
final class AddedHost {
    private static final long CONFIG_APPLY_MS = 3000;
    private static final int REQUESTS = 80;

    private AddedHost() {}

    public static void main(final String[] args) {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(Stand.guarded(() -> {
            try (Stand stand = new Stand(Path.of(args[0]))) {
                return play(stand, trouble ? "Desk.Example" : "desk.example");
            }
        }));
    }

    private static int play(final Stand stand, final String host) throws Exception {
        for (int i = 0; i < 24; i++) {
            stand.addUpstream("transfer-desk", Stand.ZONES[i % 6][0], 3, stand.sound(160, 400));
        }
        final String route = Stand.route("r-status", "/status/", "idempotent", "transfer-desk", 2500);
        if (!stand.start(2, Stand.configuration(1, List.of(route), List.of(Stand.service("transfer-desk")), 8))) {
            stand.note("the nodes did not start");
            return 2;
        }
        if (refused(stand, Stand.HOST, "before") > 0) {
            stand.note("the first route is not served");
            return 2;
        }
        final String added = Stand.route("r-desk", "/desk/", "idempotent", "transfer-desk", 2500).replace(Stand.HOST, host);
        final int status = stand.orderUntilClear(
                "config.update", 1, "{\"configVersion\":2,\"upsert\":{\"routes\":[" + added + "]},\"remove\":{}}", 6000);
        if (status != 200) {
            stand.note("the change was not acknowledged");
            return status >= 400 && status < 500 ? 0 : 2;
        }
        Stand.pause(CONFIG_APPLY_MS + 1000);
        final int refused = refused(stand, host, "after");
        final Stand.Answer read = stand.order(stand.nodes.get(0), "config.read", -1, "");
        stand.note("the configuration in force has the route: %s", read.text().contains("\"" + host + "\""));
        stand.note("404 for the acknowledged route, sent later than configApplyMs: %d of %d", refused, REQUESTS);
        stand.note("CONFIG %s", refused > 0 ? "is broken" : "holds");
        return refused > 0 ? 1 : 0;
    }

    /** Sends requests to all nodes in turn; returns how many got 401, 403 or 404. */
    private static int refused(final Stand stand, final String host, final String when) {
        int refused = 0;
        for (int i = 0; i < REQUESTS; i++) {
            final Stand.Node node = stand.nodes.get(i % stand.nodes.size());
            final String path = (host.equals(Stand.HOST) ? "/status/" : "/desk/") + i;
            final Map<String, String> headers = stand.clientHeaders(stand.nextId(), Stand.key(i % 8), 2500);
            headers.put("Host", host);
            final Stand.Answer answer = stand.call(node.frontend(), "GET", path, headers, null, 3000);
            stand.note("%s: GET %s of %s at %s: %d", when, path, host, node.name, answer.status());
            refused += List.of(401, 403, 404).contains(answer.status()) ? 1 : 0;
        }
        return refused;
    }
}
