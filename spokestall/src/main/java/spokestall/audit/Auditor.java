package spokestall.audit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.KeyHash;
import spokestall.consensus.VoterSet;
import spokestall.lease.Lease;
import spokestall.usage.SealedWindow;

/** Sees what was decided, as this core knows it, and has each of it written down once. */
public final class Auditor {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int WINDOWS_KEPT = 64;
    private final AuditSink audit;
    private final ConfigurationStore configurationStore;
    private final LongSupplier fleetMs;
    private final TreeSet<Long> windows = new TreeSet<>();
    private Map<String, Set<String>> keys = new TreeMap<>();
    private Set<String> holds = Set.of();
    private long version;
    private long token;
    private VoterSet table;

    /** Example: {@code new Auditor(environment.audit(), configurationStore, fleet::nowMs)} */
    public Auditor(final AuditSink audit, final ConfigurationStore configurationStore, final LongSupplier fleetMs) {
        this.audit = audit;
        this.configurationStore = configurationStore;
        this.fleetMs = fleetMs;
    }

    private ObjectNode entry() {
        return JSON.createObjectNode().put("fleetMs", fleetMs.getAsLong());
    }

    /** The configuration may have moved. */
    public void configuration() {
        final long now = configurationStore.configuration().version();
        if (now == version) {
            return;
        }
        final Map<Long, ConfigurationChange> changes = configurationStore.retainedAfter(version);
        if (changes.isEmpty()) {
            audit.message(
                    "snapshot",
                    entry().put("version", now)
                            .put(
                                    "digest",
                                    KeyHash.hex(configurationStore.snapshot().json())));
        } else {
            changes.forEach((v, change) -> audit.message(
                    "policy",
                    entry().put("version", v)
                            .put("changeId", change.changeId())
                            .put("whole", change.kind() == ConfigurationChange.Kind.PUT)
                            .put("digest", KeyHash.hex(change.json()))));
        }
        version = now;
        holds(now);
        keys(now);
    }

    private void holds(final long now) {
        final Set<String> held =
                new TreeSet<>(configurationStore.configuration().drainedZones());
        if (!held.equals(holds)) {
            final ObjectNode entry = entry().put("version", now);
            held.forEach(entry.putArray("districts")::add);
            audit.message("holds", entry);
            holds = held;
        }
    }

    private void keys(final long now) {
        final Map<String, Set<String>> found = new TreeMap<>();
        configurationStore
                .configuration()
                .tenants()
                .forEach((name, tenant) -> found.put(name, Set.copyOf(tenant.keyHashes())));
        final Set<String> names = new TreeSet<>(found.keySet());
        names.addAll(keys.keySet());
        for (final String name : names) {
            final Set<String> had = keys.getOrDefault(name, Set.of());
            final Set<String> has = found.getOrDefault(name, Set.of());
            if (!had.equals(has)) {
                final ObjectNode entry = entry().put("version", now).put("tenant", name);
                new TreeSet<>(has).stream().filter(k -> !had.contains(k)).forEach(entry.putArray("added")::add);
                new TreeSet<>(had).stream().filter(k -> !has.contains(k)).forEach(entry.putArray("withdrawn")::add);
                audit.message("keys", entry);
            }
        }
        keys = found;
    }

    /** The lease as the store has it, or null. */
    public void lease(final Lease seen) {
        if (seen != null && seen.token() > token) {
            token = seen.token();
            audit.message("lease", entry().put("holder", seen.holder()).put("token", token));
        }
    }

    /** A window whose report was marked as sent, so its counts were decided. */
    public void window(final SealedWindow sealed) {
        if (sealed.completed() && windows.add(sealed.window())) {
            final ObjectNode entry = entry().put("window", sealed.window()).put("token", sealed.token());
            new TreeMap<>(sealed.counts()).forEach(entry.putObject("counts")::put);
            audit.message("window", entry);
            if (windows.size() > WINDOWS_KEPT) {
                windows.pollFirst();
            }
        }
    }

    /** The table of voters in force. */
    public void table(final VoterSet now) {
        if (now != null && now.newerThan(table)) {
            table = now;
            final ObjectNode entry = entry().put("generation", now.generation()).put("epoch", now.epoch());
            now.voters().forEach(s -> entry.withObject("/seats").put(s.name(), s.diskId()));
            audit.message("voters", entry);
        }
    }
}
