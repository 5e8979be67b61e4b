package spokestall.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The configuration that a node has applied, with the newest changes for feed clients.
 *
 * <p>Versions are applied in order and only rise. Not thread-safe; all calls on the node's event loop.
 */
public final class ConfigurationStore {
    /** The one reader and writer of JSON. Safe for use from any thread. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private static final long RETAINED_BYTES_MAX = 2 << 20;
    /** A client that misses more changes is sent a snapshot, which costs less. */
    private static final int CHANGES_PER_RESPONSE_MAX = 32;

    private final ConfigurationFormat format;
    private final int retainedMax;
    private final TreeMap<Long, ConfigurationChange> retainedChanges = new TreeMap<>();
    private final CommittedChanges committedChanges = new CommittedChanges();
    private long retainedBytes;
    private long sizeUpperBoundBytes;
    private Configuration configuration;
    /** The snapshot that was made last, of this version or an older one; or null. */
    private ConfigurationSnapshot snapshot;

    /** Creates an empty store for configurations in spokestall's own format that were validated elsewhere. */
    public ConfigurationStore(final int retainedMax) {
        this(retainedMax, new NativeConfigurationFormat(null));
    }

    /**
     * Creates an empty store.
     *
     * @param retainedMax how many changes are retained for feed clients
     */
    public ConfigurationStore(final int retainedMax, final ConfigurationFormat format) {
        this.retainedMax = retainedMax;
        this.format = format;
        this.configuration = format.read(0, JSON.createObjectNode(), null);
    }

    /** Returns the version that is applied here. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns an upper bound of the applied configuration's size as JSON, in bytes. */
    public long sizeUpperBoundBytes() {
        return sizeUpperBoundBytes;
    }

    /** Returns the version that a change made, or null if it didn't commit or is no longer known (ten minutes at least). */
    public Long versionOf(final String changeId) {
        return committedChanges.versionOf(changeId);
    }

    /**
     * Returns the configuration after a change, without applying it.
     *
     * @throws IllegalArgumentException if the change is no JSON
     */
    public JsonNode preview(final ConfigurationChange change) {
        try {
            final JsonNode json = JSON.readTree(change.json());
            return change.kind() == ConfigurationChange.Kind.PUT ? json : MergePatch.apply(configuration.tree(), json);
        } catch (final IOException e) {
            throw new IllegalArgumentException("change " + change.changeId() + " is no JSON", e);
        }
    }

    /** Applies a change; its version follows the one here, or starts a generation. */
    public void apply(final long version, final ConfigurationChange change) {
        assert version > configuration.version() : version + " after " + configuration.version();
        configuration = format.read(version, preview(change), configuration);
        sizeUpperBoundBytes =
                (change.kind() == ConfigurationChange.Kind.PUT ? 0 : sizeUpperBoundBytes) + change.json().length;
        retain(version, change);
        if (!change.earlierChanges().isEmpty()) {
            committedChanges.replaceAll(change.earlierChanges());
        }
        committedChanges.add(change.changeId(), version, change.acceptedMs());
    }

    /** The newest change is retained however large it is, to be announced. */
    private void retain(final long version, final ConfigurationChange change) {
        retainedChanges.put(version, change);
        retainedBytes += change.json().length;
        while (retainedChanges.size() > retainedMax
                || retainedBytes > RETAINED_BYTES_MAX && retainedChanges.size() > 1) {
            retainedBytes -= retainedChanges.pollFirstEntry().getValue().json().length;
        }
    }

    /** Returns the changes that committed lately, the oldest first. */
    public List<CommittedChange> committedChanges() {
        return committedChanges.all();
    }

    /**
     * Replaces the configuration by a snapshot if that is newer.
     *
     * @return whether it was newer
     * @throws IllegalArgumentException if the snapshot is no JSON
     */
    public boolean load(final ConfigurationSnapshot newer) {
        if (newer.version() <= configuration.version()) {
            return false;
        }
        try {
            sizeUpperBoundBytes = newer.json().length;
            configuration = format.read(newer.version(), JSON.readTree(newer.json()), null);
        } catch (final IOException e) {
            throw new IllegalArgumentException("the snapshot of version " + newer.version() + " is no JSON", e);
        }
        retainedChanges.clear();
        retainedBytes = 0;
        committedChanges.replaceAll(newer.committedChanges());
        return true;
    }

    /** Returns a snapshot of the applied version, made once for each. */
    public ConfigurationSnapshot snapshot() {
        if (snapshot != null && snapshot.version() == configuration.version()) {
            return snapshot;
        }
        try {
            snapshot = new ConfigurationSnapshot(
                    configuration.version(), JSON.writeValueAsBytes(configuration.tree()), committedChanges.all());
            return snapshot;
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can't be encoded", e);
        }
    }

    /** Returns a live view of the retained changes after a version, which may begin later than with the next one. */
    public Map<Long, ConfigurationChange> retainedAfter(final long version) {
        return retainedChanges.tailMap(version, false);
    }

    /** Returns all changes after a version, or null if they aren't all retained or so many that a snapshot costs less. */
    public Map<Long, ConfigurationChange> changesAfter(final long version) {
        if (version == configuration.version()) {
            return Map.of();
        }
        if (!retainedChanges.containsKey(version + 1) || configuration.version() - version > CHANGES_PER_RESPONSE_MAX) {
            return null;
        }
        return retainedChanges.tailMap(version, false);
    }
}
