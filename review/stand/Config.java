import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Bodies of the operator's configuration calls. */
final class Config {
    static final String HOST = "a.example";
    static final int TENANTS = 8;

    private Config() {}

    static String key(final int tenant) {
        return "key-" + tenant;
    }

    static String route(final String name, final String type, final String service, final long timeoutMs) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name + "/\",\"routeType\":\"" + type
                + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":600,\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":2,\"public\":false,\"allowedRegions\":[]}";
    }

    static String service(final String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\","
                + "\"upstreamTls\":false,\"warmupS\":3.0,\"warmupPerS\":5.8}";
    }

    static String tenant(final int tenant) {
        return "{\"name\":\"t" + tenant + "\",\"apiKeys\":[\"" + key(tenant) + "\"],\"priority\":1,\"allowedRegions\":[]}";
    }

    static String whole(final long version, final List<String> routes, final List<String> services) {
        return "{\"configVersion\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + services.stream().map(Config::service).collect(Collectors.joining(","))
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},\"tenants\":["
                + IntStream.range(0, TENANTS).mapToObj(Config::tenant).collect(Collectors.joining(",")) + "]}";
    }

    static String upsertRoutes(final long version, final String... routes) {
        return "{\"configVersion\":" + version + ",\"upsert\":{\"routes\":[" + String.join(",", routes) + "]}}";
    }

    static List<String> controls(final Fleet fleet) {
        final List<String> controls = new ArrayList<>();
        fleet.nodes.forEach(node -> controls.add(fleet.control(node)));
        return controls;
    }
}
