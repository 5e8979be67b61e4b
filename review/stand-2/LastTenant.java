import java.nio.file.Path;
import java.util.List;

/**
 * All keys are taken away from connected clients; they go on sending. Argument: the record's file. Exits with 1 if CONFIG was broken,
 * 0 if it held, 2 if the case couldn't run.
 */
final class LastTenant {
    private static final int TENANTS = 4;
    private static final long REVOKE_MS = 5000;
    private static final int REQUESTS = 30;

    private LastTenant() {}

    public static void main(final String[] args) {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(Stand.guarded(() -> {
            try (Stand stand = new Stand(Path.of(args[0]))) {
                return play(stand, trouble);
            }
        }));
    }

    private static int play(final Stand stand, final boolean trouble) throws Exception {
        for (int i = 0; i < 24; i++) {
            stand.addUpstream("transfer-desk", Stand.ZONES[i % 6][0], 3, stand.sound(160, 400));
        }
        final boolean up = stand.start(
                2,
                Stand.configuration(
                        1,
                        List.of(
                                Stand.route("r-send", "/send/", "non_idempotent", "transfer-desk", 3000),
                                Stand.route("r-status", "/status/", "idempotent", "transfer-desk", 2500)),
                        List.of(Stand.service("transfer-desk")),
                        TENANTS));
        if (!up) {
            stand.note("the nodes did not start");
            return 2;
        }
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            final Stand.Answer answer = send(stand, tenant, Stand.key(tenant), "before");
            if (answer.status() != 200) {
                stand.note("a tenant is not served before the revocations");
                return 2;
            }
        }
        if (send(stand, 0, "key-that-nobody-ever-held", "before").status() != 401) {
            stand.note("an unknown key is not refused before the revocations");
            return 2;
        }

        // Tenants leave one by one. Without the trouble the last one stays.
        final int leaving = trouble ? TENANTS : TENANTS - 1;
        long version = 1;
        for (int tenant = 0; tenant < leaving; tenant++) {
            final int status = stand.orderUntilClear(
                    "config.update",
                    version,
                    "{\"configVersion\":" + (version + 1) + ",\"upsert\":{},\"remove\":{\"tenants\":[\"tenant-" + tenant + "\"]}}",
                    6000);
            if (status != 200) {
                stand.note("the operator's order was not acknowledged");
                return trouble && tenant == TENANTS - 1 && status >= 400 && status < 500 ? 0 : 2;
            }
            version++;
            stand.note("operator: tenant-%d and its key removed, version %d acknowledged", tenant, version);
            Stand.pause(300);
        }
        Stand.pause(REVOKE_MS + 1000);

        int ran = 0;
        for (int i = 0; i < REQUESTS; i++) {
            final int tenant = i % leaving;
            final String id = stand.nextId();
            final Stand.Answer answer = send(stand, id, i, Stand.key(tenant), "after, removed key of tenant-" + tenant);
            ran += answer.status() == 200 || stand.arrivalsOf(id) > 0 ? 1 : 0;
        }
        final Stand.Answer stranger = send(stand, 3, "key-that-nobody-ever-held", "after, a key that no configuration held");
        final Stand.Answer kept = trouble ? null : send(stand, 4, Stand.key(TENANTS - 1), "after, the tenant that stays");
        stand.note("run with a removed key, sent over %d ms after the removal was acknowledged: %d of %d", REVOKE_MS, ran, REQUESTS);
        if (kept != null && kept.status() != 200) {
            return 2;
        }
        final boolean broken = ran > 0 || stranger.status() == 200;
        stand.note("CONFIG %s", broken ? "is broken" : "holds");
        return broken ? 1 : 0;
    }

    private static Stand.Answer send(final Stand stand, final int number, final String key, final String when) {
        return send(stand, stand.nextId(), number, key, when);
    }

    private static Stand.Answer send(
            final Stand stand, final String id, final int number, final String key, final String when) {
        final Stand.Node node = stand.nodes.get(number % stand.nodes.size());
        final boolean post = number % 2 == 0;
        final Stand.Answer answer = stand.call(
                node.frontend(),
                post ? "POST" : "GET",
                post ? "/send/" + number : "/status/" + number,
                stand.clientHeaders(id, key, 3000),
                post ? new byte[200] : null,
                4000);
        stand.note("%s: %s at %s: %d, run %d times", when, post ? "POST /send/" : "GET /status/", node.name, answer.status(),
                stand.arrivalsOf(id));
        return answer;
    }
}
