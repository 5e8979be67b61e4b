package spokestall.testbed.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import spokestall.configuration.KeyHash;
import spokestall.testbed.Deployment;

/** The shape of a fleet at scale: its zones, upstreams, tenants, configuration, and who asks how often, all by formula. */
final class ScaleShape {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TENANTS_A_CELL = 200;
    final ScaleFlags flags;
    private final String[] tenants;

    ScaleShape(final ScaleFlags flags) {
        this.flags = flags;
        this.tenants = new String[flags.tenants];
        for (int i = 0; i < tenants.length; i++) {
            tenants[i] = "tenant-" + i;
        }
    }

    int zoneOf(final int i) {
        return i % flags.zones;
    }

    int regionOf(final int zone) {
        return zone * flags.regions / flags.zones;
    }

    String zone(final int i) {
        return "d" + (zoneOf(i) + 1);
    }

    String region(final int i) {
        return "r" + (regionOf(zoneOf(i)) + 1);
    }

    String zones() {
        final List<String> all = new ArrayList<>();
        for (int i = 0; i < flags.zones; i++) {
            all.add(zone(i) + "=" + region(i));
        }
        return String.join(",", all);
    }

    static String address(final int i) {
        return "10.0." + (i / 200) + "." + (i % 200 + 1) + ":7100";
    }

    List<Deployment.Place> upstreams() {
        final List<Deployment.Place> all = new ArrayList<>();
        for (int i = 0; i < flags.upstreams; i++) {
            final String service = service(i % flags.services);
            final int at = i / flags.services + i;
            all.add(new Deployment.Place(service + "-" + i, service, zone(at), region(at)));
        }
        return all;
    }

    String service(final int i) {
        return "service-" + i % flags.services;
    }

    /** Few tenants ask often: a hundredth of them make a fifth of all asks. */
    String asker(final Random random) {
        final double u = random.nextDouble();
        return tenants[(int) (u * u * u * tenants.length)];
    }

    String cell(final int tenant) {
        return "cell-" + tenant / TENANTS_A_CELL;
    }

    ObjectNode configuration() {
        final ObjectNode configuration = JSON.createObjectNode();
        final ObjectNode cells = configuration.putObject("cells");
        for (int i = 0; i < flags.tenants; i++) {
            final ObjectNode cell = cells.has(cell(i)) ? (ObjectNode) cells.get(cell(i)) : cells.putObject(cell(i));
            final ObjectNode of = cell.has("tenants") ? (ObjectNode) cell.get("tenants") : cell.putObject("tenants");
            final ObjectNode t = of.putObject(tenants[i]);
            final ArrayNode home = t.putArray("homeRegions");
            home.add("r" + (i % flags.regions + 1));
            if (flags.regions > 1) {
                home.add("r" + ((i + 1) % flags.regions + 1));
            }
            t.putObject("keys").putObject("main").put("sha256", KeyHash.of("key-of-" + tenants[i]));
            final ObjectNode routes = t.putObject("bindings");
            for (int b = i; b < flags.routes; b += flags.tenants) {
                routes.putObject("b" + b).put("path", "/b" + b).put("service", service(b));
            }
        }
        final ObjectNode services = configuration.putObject("services");
        for (int i = 0; i < flags.services; i++) {
            services.putObject(service(i))
                    .put("warmPerS", 5)
                    .put("warmupMs", 10_000)
                    .put("goMs", 2000);
        }
        return configuration;
    }

    /** A patch that adds the n-th route. */
    ObjectNode patch(final int n) {
        final int tenant = (int) (n * 7919L % flags.tenants);
        final ObjectNode patch = JSON.createObjectNode();
        patch.putObject("cells")
                .putObject(cell(tenant))
                .putObject("tenants")
                .putObject(tenants[tenant])
                .putObject("bindings")
                .putObject("n" + n)
                .put("path", "/n" + n)
                .put("service", service(n));
        return patch;
    }
}
