package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A tenant: its cell, home regions (none: all), keys (by the hash of each), priority and bindings by path. */
public final class Tenant {
    private final String name;
    private final String cell;
    private final JsonNode source;
    private final Set<String> homeRegions;
    private final Set<String> keys;
    private final Integer priority;
    private final RouteTable bindings = new RouteTable();

    /** Example: {@code new Tenant("t-1", "cell-1", source, Set.of("r1"), Set.of(hash), null, List.of())}; priority is null
     * where the binding's own counts. */
    public Tenant(
            final String name,
            final String cell,
            final JsonNode source,
            final Set<String> homeRegions,
            final Set<String> keys,
            final Integer priority,
            final List<Route> bindings) {
        this.name = name;
        this.cell = cell;
        this.source = source;
        this.homeRegions = homeRegions;
        this.keys = keys;
        this.priority = priority;
        bindings.forEach(this.bindings::add);
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

    /** Whether it was made from that very node of a tree. Example: {@code if (tenant.madeFrom(node)) keep(tenant);} */
    public boolean madeFrom(final JsonNode other) {
        return source == other;
    }

    /** Example: {@code if (!tenant.homeRegions().contains(region)) deny();} */
    public Set<String> homeRegions() {
        return homeRegions;
    }

    /** Hashes of the keys in force. Example: {@code tenant.keys().contains(hash)} */
    public Set<String> keys() {
        return keys;
    }

    /** Its rank, 0 the highest, or what the binding says. Example: {@code tenant.priority(binding.priority())} */
    public int priority(final int bindings) {
        return priority == null ? bindings : priority;
    }

    /** The binding with the longest path that leads to this one, or null.
     * Example: {@code tenant.binding("/transfers/17/status")} */
    public Route binding(final String path) {
        return bindings.find(path);
    }

    /** How many bindings. Example: {@code tenant.bindingCount()} */
    public int bindingCount() {
        return bindings.size();
    }
}
