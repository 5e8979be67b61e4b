package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A tenant: its cell, home regions (none: all), keys (by the hash of each), priority and routes by path. */
public final class Tenant {
    private final String name;
    private final String cell;
    private final JsonNode source;
    private final Set<String> homeRegions;
    private final Set<String> keys;
    private final Integer priority;
    private final RouteTable routes = new RouteTable();

    /** Example: {@code new Tenant("t-1", "cell-1", source, Set.of("r1"), Set.of(hash), null, List.of())}; priority is null
     * where the route's own counts. */
    public Tenant(
            final String name,
            final String cell,
            final JsonNode source,
            final Set<String> homeRegions,
            final Set<String> keys,
            final Integer priority,
            final List<Route> routes) {
        this.name = name;
        this.cell = cell;
        this.source = source;
        this.homeRegions = homeRegions;
        this.keys = keys;
        this.priority = priority;
        routes.forEach(this.routes::add);
    }

    static Tenant read(final String name, final String cell, final JsonNode source) {
        final Set<String> homes = new HashSet<>();
        final Set<String> hashes = new HashSet<>();
        final List<Route> own = new ArrayList<>();
        source.path("homeRegions").forEach(r -> homes.add(r.asText()));
        source.path("keys").forEach(k -> hashes.add(k.path("sha256").asText()));
        source.path("bindings").fields().forEachRemaining(e -> {
            final JsonNode b = e.getValue();
            own.add(Route.of(
                    e.getKey(),
                    b.path("path").asText(),
                    b.path("service").asText(),
                    b.path("runOnce").asBoolean(false)));
        });
        return new Tenant(
                name,
                cell,
                source,
                homes,
                hashes,
                source.has("priority") ? source.path("priority").asInt() : null,
                own);
    }

    /** Example: {@code tenant.name()} */
    public String name() {
        return name;
    }

    /** Example: {@code tenant.cell()} */
    public String cell() {
        return cell;
    }

    /** Whether it was made from that very node of a tree. */
    public boolean madeFrom(final JsonNode other) {
        return source == other;
    }

    /** Example: {@code if (!tenant.homeRegions().contains(region)) deny();} */
    public Set<String> homeRegions() {
        return homeRegions;
    }

    /** Hashes of the keys in force. */
    public Set<String> keys() {
        return keys;
    }

    /** Its rank, 0 the highest, or what the route says. */
    public int priority(final int routes) {
        return priority == null ? routes : priority;
    }

    /** The route with the longest path that leads to this one, or null. */
    public Route route(final String path) {
        return routes.find(path);
    }

    /** How many routes. */
    public int routeCount() {
        return routes.size();
    }
}
