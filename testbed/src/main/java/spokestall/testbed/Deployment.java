package spokestall.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import spokestall.configuration.KeyHash;
import spokestall.testbed.simulation.SimulatedWorld;

/** One of the two deployments that the testbed models: its services, sizes, distances, tenants and load. */
public enum Deployment {
    PADMA("transfers", "records", 35, 200, "/transfers/payout", "/transfers/status", "/records/receipt"),
    VERDE("routes", "publishing", 55, 180, "/routes/confirm", "/routes/days", "/publishing/calendar");

    public static final int TENANTS = 8;
    static final int UPSTREAMS = 36;
    public static final int ZONES = 6;
    static final int REGIONS = 3;
    private static final ObjectMapper JSON = new ObjectMapper();
    public final String largeService;
    public final String smallService;
    public final long interRegionRttMs;
    public final int ratePerS;
    private final String runOncePath;
    private final String readPath;
    private final String smallServicePath;

    Deployment(
            final String largeService,
            final String smallService,
            final long interRegionRttMs,
            final int ratePerS,
            final String runOncePath,
            final String readPath,
            final String smallServicePath) {
        this.largeService = largeService;
        this.smallService = smallService;
        this.interRegionRttMs = interRegionRttMs;
        this.ratePerS = ratePerS;
        this.runOncePath = runOncePath;
        this.readPath = readPath;
        this.smallServicePath = smallServicePath;
    }

    /** The identity and location of one upstream. */
    public record Place(String instance, String service, String zone, String region) {}

    /** One kind of request that clients send, with its weight in the load. */
    public record RequestKind(String tenant, String key, String path, boolean runOnce, int weight) {}

    public static String zone(final int i) {
        return "d" + (i % ZONES + 1);
    }

    public static String region(final int i) {
        return "r" + (i % ZONES / 2 + 1);
    }

    public static String zoneSetting() {
        final List<String> all = new ArrayList<>();
        for (int i = 0; i < ZONES; i++) {
            all.add(zone(i) + "=" + region(i));
        }
        return String.join(",", all);
    }

    public List<Place> upstreams() {
        final List<Place> all = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            final String service = i < UPSTREAMS * 2 / 3 ? largeService : smallService;
            all.add(new Place(service + "-" + i, service, zone(i), region(i)));
        }
        return all;
    }

    public static String key(final int tenant) {
        return "key-of-tenant-" + tenant + "-0001";
    }

    public static String tenant(final int i) {
        return "tenant-" + i;
    }

    public static String cell(final int i) {
        return "cell-" + (i % 2);
    }

    /** Returns the kinds of requests of all tenants. Tenants 0 and 1 send more than the others. */
    public List<RequestKind> requestKinds() {
        final List<RequestKind> all = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            final int weight = i < 2 ? 6 : 1;
            all.add(new RequestKind(tenant(i), key(i), runOncePath, true, 2 * weight));
            all.add(new RequestKind(tenant(i), key(i), readPath, false, 5 * weight));
            all.add(new RequestKind(tenant(i), key(i), smallServicePath, false, 3 * weight));
        }
        return all;
    }

    /** Returns a tenant's home regions: one region for tenant 6, two for tenant 7, and all for the others. */
    public static List<String> homeRegions(final int tenant) {
        return tenant == 6 ? List.of("r1") : tenant == 7 ? List.of("r2", "r3") : List.of("r1", "r2", "r3");
    }

    /** Returns a configuration patch that adds a route to a tenant whose home regions include all regions. */
    public static ObjectNode routePatch(final String name, final String path, final String service) {
        final ObjectNode patch = JSON.createObjectNode();
        patch.putObject("cells")
                .putObject(cell(3))
                .putObject("tenants")
                .putObject(tenant(3))
                .putObject("bindings")
                .putObject(name)
                .put("path", path)
                .put("service", service);
        return patch;
    }

    public ArrayNode loadPlan() {
        final ArrayNode list = JSON.createArrayNode();
        for (final RequestKind k : requestKinds()) {
            list.addObject()
                    .put("key", k.key)
                    .put("path", k.path)
                    .put("runOnce", k.runOnce)
                    .put("weight", k.weight);
        }
        return list;
    }

    public ObjectNode configuration() {
        final ObjectNode configuration = JSON.createObjectNode();
        final ObjectNode cells = configuration.putObject("cells");
        for (int i = 0; i < TENANTS; i++) {
            final ObjectNode cell = cells.has(cell(i)) ? (ObjectNode) cells.get(cell(i)) : cells.putObject(cell(i));
            final ObjectNode tenants =
                    cell.has("tenants") ? (ObjectNode) cell.get("tenants") : cell.putObject("tenants");
            final ObjectNode t = tenants.putObject(tenant(i));
            final ArrayNode home = t.putArray("homeRegions");
            homeRegions(i).forEach(home::add);
            t.putObject("keys").putObject("main").put("sha256", KeyHash.of(key(i)));
            final ObjectNode routes = t.putObject("bindings");
            routes.putObject("once")
                    .put("path", runOncePath)
                    .put("service", largeService)
                    .put("runOnce", true);
            routes.putObject("look").put("path", readPath).put("service", largeService);
            routes.putObject("other").put("path", smallServicePath).put("service", smallService);
        }
        final ObjectNode services = configuration.putObject("services");
        services.putObject(largeService)
                .put("warmPerS", SimulatedWorld.WARM_PER_S)
                .put("warmupMs", 10_000)
                .put("goMs", 2000);
        services.putObject(smallService)
                .put("warmPerS", SimulatedWorld.WARM_PER_S)
                .put("warmupMs", 10_000)
                .put("goMs", 2000);
        return configuration;
    }
}
