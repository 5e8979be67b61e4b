package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A tenant: its cell, home regions, keys, priority and own routes. Immutable. */
public final class Tenant {
    private final String name;
    private final String cell;
    private final JsonNode source;
    private final Set<String> homeRegions;
    private final Set<String> keyHashes;
    private final Integer priority;
    private final RouteTable routes = new RouteTable();

    /**
     * Creates a tenant.
     *
     * @param source the configuration node that the tenant was read from, see {@link #isReadFrom}
     * @param homeRegions the regions in which the tenant's requests may be served, empty for all regions
     * @param keyHashes the hashes of the valid keys
     * @param priority the priority of the tenant's requests, 0 is the highest; null to use the route's priority
     * @param routes the tenant's own routes, which take precedence over shared routes
     */
    public Tenant(
            final String name,
            final String cell,
            final JsonNode source,
            final Set<String> homeRegions,
            final Set<String> keyHashes,
            final Integer priority,
            final List<Route> routes) {
        this.name = name;
        this.cell = cell;
        this.source = source;
        this.homeRegions = homeRegions;
        this.keyHashes = keyHashes;
        this.priority = priority;
        routes.forEach(this.routes::add);
    }

    /** Reads a tenant in spokestall's native format. */
    static Tenant read(final String name, final String cell, final JsonNode source) {
        final Set<String> homeRegions = new HashSet<>();
        source.path("homeRegions").forEach(region -> homeRegions.add(region.asText()));
        final Set<String> keyHashes = new HashSet<>();
        source.path("keys").forEach(key -> keyHashes.add(key.path("sha256").asText()));
        final List<Route> routes = new ArrayList<>();
        source.path("bindings").fields().forEachRemaining(member -> {
            final JsonNode route = member.getValue();
            routes.add(Route.of(
                    member.getKey(),
                    route.path("path").asText(),
                    route.path("service").asText(),
                    route.path("runOnce").asBoolean(false)));
        });
        final Integer priority =
                source.has("priority") ? source.path("priority").asInt() : null;
        return new Tenant(name, cell, source, homeRegions, keyHashes, priority, routes);
    }

    /** Returns the tenant's name, which is unique in the configuration. */
    public String name() {
        return name;
    }

    /** Returns the name of the tenant's cell; empty in formats without cells. */
    public String cell() {
        return cell;
    }

    /** Returns whether the tenant was read from the same node object, so that it need not be read again. */
    public boolean isReadFrom(final JsonNode other) {
        return source == other;
    }

    /** Returns the regions in which the tenant's requests may be served; empty for all regions. */
    public Set<String> homeRegions() {
        return homeRegions;
    }

    /** Returns the hashes of the valid keys. */
    public Set<String> keyHashes() {
        return keyHashes;
    }

    /** Returns the tenant's own priority, or the route's if the tenant has none; 0 is the highest. */
    public int priority(final int routePriority) {
        return priority == null ? routePriority : priority;
    }

    /** Returns the tenant's own route with the longest matching path, or null if none matches. */
    public Route route(final String path) {
        return routes.find(path);
    }

    /** Returns the number of the tenant's own routes. */
    public int routeCount() {
        return routes.size();
    }
}
