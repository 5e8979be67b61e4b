package spokestall.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import com.fasterxml.jackson.databind.JsonNode;

/** A tenant: its cell, home regions, keys (by the hash of each) and bindings by path. */
public final class Tenant {
    private final String name;
    private final String cell;
    private final JsonNode source;
    private final Set<String> homeRegions = new HashSet<>();
    private final Set<String> keys = new HashSet<>();
    private final Map<String, Binding> bindings = new HashMap<>();

    Tenant(final String name, final String cell, final JsonNode source) {
        this.name = name;
        this.cell = cell;
        this.source = source;
        source.path("homeRegions").forEach(r -> homeRegions.add(r.asText()));
        source.path("keys").forEach(k -> keys.add(k.path("sha256").asText()));
        source.path("bindings").fields().forEachRemaining(e -> {
            final JsonNode b = e.getValue();
            bindings.put(b.path("path").asText(), new Binding(e.getKey(), b.path("path").asText(),
                    b.path("service").asText(), b.path("runOnce").asBoolean(false)));
        });
    }

    /** Example: {@code tenant.name()} */
    public String name() {
        return name;
    }

    /** Example: {@code tenant.cell()} */
    public String cell() {
        return cell;
    }

    boolean madeFrom(final JsonNode other) {
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

    /** The binding with the longest path that leads to this one, or null.
     * Example: {@code tenant.binding("/transfers/17/status")} */
    public Binding binding(final String path) {
        String at = path;
        while (true) {
            final Binding found = bindings.get(at.isEmpty() ? "/" : at);
            if (found != null || at.isEmpty()) {
                return found;
            }
            at = at.substring(0, Math.max(0, at.lastIndexOf('/')));
        }
    }

    /** How many bindings. Example: {@code tenant.bindingCount()} */
    public int bindingCount() {
        return bindings.size();
    }
}
