package spokestall.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stores the configuration that a node has applied, and retains the newest changes for feed clients.
 *
 * <p>Versions are applied in order and only increase. Not thread-safe; call only on the node's event loop.
 */
public final class ConfigurationStore {
    /** The shared JSON reader and writer. Thread-safe. */
    public static final ObjectMapper JSON = BoundedJson.mapper();

    private static final long RETAINED_BYTES_MAX = 2 << 20;
    /** The maximum number of changes in a response. A client that lacks more is sent a snapshot, which costs less. */
    private static final int CHANGES_PER_RESPONSE_MAX = 32;

    private final ConfigurationFormat format;
    private final int retainedMax;
    private final TreeMap<Long, ConfigurationChange> retainedChanges = new TreeMap<>();
    private final CommittedChanges committedChanges = new CommittedChanges();
    private long retainedBytes;
    private long sizeUpperBoundBytes;
    private Configuration configuration;
    /** The most recently created snapshot, of the applied version or an older one; null before the first. */
    private ConfigurationSnapshot snapshot;

    /** Creates an empty store for configurations in spokestall's native format that are validated elsewhere. */
    public ConfigurationStore(final int retainedMax) {
        this(retainedMax, new NativeConfigurationFormat(null));
    }

    /**
     * Creates an empty store.
     *
     * @param retainedMax the maximum number of changes that are retained for feed clients
     */
    public ConfigurationStore(final int retainedMax, final ConfigurationFormat format) {
        this.retainedMax = retainedMax;
        this.format = format;
        this.configuration = format.read(0, JSON.createObjectNode(), null);
    }

    /** Returns the applied version of the configuration. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns an upper bound on the size of the applied configuration as JSON, in bytes. */
    public long sizeUpperBoundBytes() {
        return sizeUpperBoundBytes;
    }

    /**
     * Returns the version that a change created, or null if the change didn't commit or is no longer retained. A change is
     * retained for at least ten minutes unless too many others follow it.
     */
    public Long versionOf(final String changeId) {
        return committedChanges.versionOf(changeId);
    }

    /**
     * Returns the configuration after a change, without applying it.
     *
     * @throws IllegalArgumentException if the change is not valid JSON
     */
    public JsonNode preview(final ConfigurationChange change) {
        try {
            final JsonNode json = JSON.readTree(change.json());
            return change.kind() == ConfigurationChange.Kind.PUT ? json : MergePatch.apply(configuration.tree(), json);
        } catch (final IOException e) {
            throw new IllegalArgumentException("change " + change.changeId() + " is not valid JSON", e);
        }
    }

    /** Applies a change. Its version must be the one after the applied version, or the first version of a generation. */
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

    /** Retains a change and evicts the oldest. The newest is retained regardless of its size, so that it can be announced. */
    private void retain(final long version, final ConfigurationChange change) {
        retainedChanges.put(version, change);
        retainedBytes += change.json().length;
        while (retainedChanges.size() > retainedMax
                || retainedBytes > RETAINED_BYTES_MAX && retainedChanges.size() > 1) {
            retainedBytes -= retainedChanges.pollFirstEntry().getValue().json().length;
        }
    }

    /** Returns the retained committed changes, oldest first. */
    public List<CommittedChange> committedChanges() {
        return committedChanges.all();
    }

    /**
     * Replaces the configuration with a snapshot if the snapshot is newer.
     *
     * @return whether the snapshot was newer
     * @throws IllegalArgumentException if the snapshot is not valid JSON
     */
    public boolean load(final ConfigurationSnapshot newer) {
        if (newer.version() <= configuration.version()) {
            return false;
        }
        try {
            sizeUpperBoundBytes = newer.json().length;
            configuration = format.read(newer.version(), JSON.readTree(newer.json()), null);
        } catch (final IOException e) {
            throw new IllegalArgumentException("the snapshot of version " + newer.version() + " is not valid JSON", e);
        }
        retainedChanges.clear();
        retainedBytes = 0;
        committedChanges.replaceAll(newer.committedChanges());
        return true;
    }

    /** Returns a snapshot of the applied version, cached until the next version is applied. */
    public ConfigurationSnapshot snapshot() {
        if (snapshot != null && snapshot.version() == configuration.version()) {
            return snapshot;
        }
        try {
            snapshot = new ConfigurationSnapshot(
                    configuration.version(), JSON.writeValueAsBytes(configuration.tree()), committedChanges.all());
            return snapshot;
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("failed to encode a JSON tree", e);
        }
    }

    /** Returns a live view of the retained changes after a version. Changes right after that version may be missing. */
    public Map<Long, ConfigurationChange> retainedAfter(final long version) {
        return retainedChanges.tailMap(version, false);
    }

    /** Returns all changes after a version, or null if some are not retained or a snapshot would cost less. */
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
