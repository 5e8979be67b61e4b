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

/**
 * Writer of an audit entry for each decision that this core learns of: configurations, evacuations, keys, leases, usage windows
 * and voters. Writes each decision once per process incarnation.
 *
 * <p>Not thread-safe; all calls run on the node's event loop. The kinds and field names of entries are stored and must not change.
 */
public final class Auditor {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Number of the newest windows remembered as written, so that a window that is reported again is not written again. */
    private static final int MAX_REMEMBERED_WINDOWS = 64;

    private final AuditSink sink;
    private final ConfigurationStore configurationStore;
    private final LongSupplier fleetMs;
    private final TreeSet<Long> writtenWindows = new TreeSet<>();
    private Map<String, Set<String>> keysByTenant = new TreeMap<>();
    private Set<String> evacuatedZones = Set.of();
    private long version;
    private long fencingToken;
    private VoterSet voterSet;

    /** Creates an auditor without written entries; {@code fleetMs} returns the fleet clock's time, which each entry contains. */
    public Auditor(final AuditSink sink, final ConfigurationStore configurationStore, final LongSupplier fleetMs) {
        this.sink = sink;
        this.configurationStore = configurationStore;
        this.fleetMs = fleetMs;
    }

    private ObjectNode entry() {
        return JSON.createObjectNode().put("fleetMs", fleetMs.getAsLong());
    }

    /**
     * Writes the configuration versions that came into force on this core since the last call. Writes one snapshot entry with a
     * digest instead if the store no longer retains the changes.
     */
    public void recordConfiguration() {
        final long now = configurationStore.configuration().version();
        if (now == version) {
            return;
        }
        final Map<Long, ConfigurationChange> changes = configurationStore.retainedAfter(version);
        if (changes.isEmpty()) {
            sink.append(
                    "snapshot",
                    entry().put("version", now)
                            .put(
                                    "digest",
                                    KeyHash.hex(configurationStore.snapshot().json())));
        } else {
            changes.forEach((v, change) -> sink.append(
                    "policy",
                    entry().put("version", v)
                            .put("changeId", change.changeId())
                            .put("whole", change.kind() == ConfigurationChange.Kind.PUT)
                            .put("digest", KeyHash.hex(change.json()))));
        }
        version = now;
        recordEvacuations(now);
        recordKeys(now);
    }

    private void recordEvacuations(final long now) {
        final Set<String> evacuatedNow =
                new TreeSet<>(configurationStore.configuration().drainedZones());
        if (!evacuatedNow.equals(evacuatedZones)) {
            final ObjectNode entry = entry().put("version", now);
            evacuatedNow.forEach(entry.putArray("districts")::add);
            sink.append("holds", entry);
            evacuatedZones = evacuatedNow;
        }
    }

    private void recordKeys(final long now) {
        final Map<String, Set<String>> found = new TreeMap<>();
        configurationStore
                .configuration()
                .tenants()
                .forEach((name, tenant) -> found.put(name, Set.copyOf(tenant.keyHashes())));
        final Set<String> names = new TreeSet<>(found.keySet());
        names.addAll(keysByTenant.keySet());
        for (final String name : names) {
            final Set<String> had = keysByTenant.getOrDefault(name, Set.of());
            final Set<String> has = found.getOrDefault(name, Set.of());
            if (!had.equals(has)) {
                final ObjectNode entry = entry().put("version", now).put("tenant", name);
                new TreeSet<>(has).stream().filter(k -> !had.contains(k)).forEach(entry.putArray("added")::add);
                new TreeSet<>(had).stream().filter(k -> !has.contains(k)).forEach(entry.putArray("withdrawn")::add);
                sink.append("keys", entry);
            }
        }
        keysByTenant = found;
    }

    /** Writes the lease if its fencing token is higher than the last one; null means that no lease is known. */
    public void recordLease(final Lease seen) {
        if (seen != null && seen.fencingToken() > fencingToken) {
            fencingToken = seen.fencingToken();
            sink.append("lease", entry().put("holder", seen.holder()).put("token", fencingToken));
        }
    }

    /** Writes a usage window once it is marked as reported, which makes its counts final. */
    public void recordWindow(final SealedWindow sealed) {
        if (sealed.completed() && writtenWindows.add(sealed.window())) {
            final ObjectNode entry = entry().put("window", sealed.window()).put("token", sealed.fencingToken());
            new TreeMap<>(sealed.counts()).forEach(entry.putObject("counts")::put);
            sink.append("window", entry);
            if (writtenWindows.size() > MAX_REMEMBERED_WINDOWS) {
                writtenWindows.pollFirst();
            }
        }
    }

    /** Writes the voter set if it is newer than the last one; null means that no voter set is known. */
    public void recordVoters(final VoterSet now) {
        if (now != null && now.newerThan(voterSet)) {
            voterSet = now;
            final ObjectNode entry = entry().put("generation", now.generation()).put("epoch", now.epoch());
            now.voters().forEach(voter -> entry.withObject("/seats").put(voter.name(), voter.diskId()));
            sink.append("voters", entry);
        }
    }
}
