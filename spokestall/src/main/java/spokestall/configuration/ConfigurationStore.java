package spokestall.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The configuration a node has applied, with the newest changes for those who follow from a place on. */
public final class ConfigurationStore {
    /** The one reader of JSON. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private static final long CHANGES_BYTES_MOST = 2 << 20;
    /** So many changes cost a follower more than the whole. */
    private static final int CHANGES_AT_ONCE = 32;

    private final int changesKept;
    private final TreeMap<Long, ConfigurationChange> changes = new TreeMap<>();
    private final CommittedChanges orders = new CommittedChanges();
    private long changesBytes;
    private ConfigurationSnapshot snapshot;
    private long bytesMost;
    private final ConfigurationFormat form;
    private Configuration configuration;

    /** Example: {@code new ConfigurationStore(1024)} keeps that many changes for followers. */
    public ConfigurationStore(final int changesKept) {
        this(changesKept, new NativeConfigurationFormat(null));
    }

    /** Example: {@code new ConfigurationStore(1024, form)} keeps configurations of that form. */
    public ConfigurationStore(final int changesKept, final ConfigurationFormat form) {
        this.changesKept = changesKept;
        this.form = form;
        this.configuration = form.read(0, JSON.createObjectNode(), null);
    }

    /** The version in force here. */
    public Configuration configuration() {
        return configuration;
    }

    /** More than the configuration in force here may not be, written out. */
    public long bytesMost() {
        return bytesMost;
    }

    /** The version an order was accepted as, or null: those of ten minutes at least, and never fewer than 512, but never more
     * than 2048. */
    public Long versionOf(final String changeId) {
        return orders.versionOf(changeId);
    }

    /** The tree after a change, not yet applied. */
    public JsonNode preview(final ConfigurationChange change) {
        try {
            final JsonNode json = JSON.readTree(change.json());
            return change.kind() == ConfigurationChange.Kind.PUT ? json : MergePatch.apply(configuration.tree(), json);
        } catch (final IOException e) {
            throw new IllegalArgumentException("a change that is no JSON was accepted", e);
        }
    }

    /** Applies the next change. */
    public void apply(final long version, final ConfigurationChange change) {
        assert version > configuration.version() : version + " after " + configuration.version();
        configuration = form.read(version, preview(change), configuration);
        bytesMost = (change.kind() == ConfigurationChange.Kind.PUT ? 0 : bytesMost) + change.json().length;
        keep(version, change);
        if (!change.before().isEmpty()) {
            orders.replace(change.before());
        }
        orders.accept(change.changeId(), version, change.acceptedMs());
    }

    /** The newest one is kept however large it is: it is told to all. */
    private void keep(final long version, final ConfigurationChange change) {
        changes.put(version, change);
        changesBytes += change.json().length;
        while (changes.size() > changesKept || changesBytes > CHANGES_BYTES_MOST && changes.size() > 1) {
            changesBytes -= changes.pollFirstEntry().getValue().json().length;
        }
    }

    /** The orders that were accepted lately, the oldest first. */
    public List<CommittedChange> orders() {
        return orders.all();
    }

    /** Starts from a snapshot if it is newer. */
    public boolean load(final ConfigurationSnapshot snapshot) {
        if (snapshot.version() <= configuration.version()) {
            return false;
        }
        try {
            bytesMost = snapshot.json().length;
            configuration = form.read(snapshot.version(), JSON.readTree(snapshot.json()), null);
        } catch (final IOException e) {
            throw new IllegalArgumentException("bad snapshot", e);
        }
        changes.clear();
        changesBytes = 0;
        orders.replace(snapshot.orders());
        return true;
    }

    /** This version whole. */
    public ConfigurationSnapshot snapshot() {
        if (snapshot != null && snapshot.version() == configuration.version()) {
            return snapshot;
        }
        try {
            snapshot = new ConfigurationSnapshot(
                    configuration.version(), JSON.writeValueAsBytes(configuration.tree()), orders.all());
            return snapshot;
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The changes that are kept from after a place, however far they reach back. */
    public Map<Long, ConfigurationChange> kept(final long place) {
        return changes.tailMap(place, false);
    }

    /** The changes after a place, or null when they don't reach back that far or are so many that the snapshot is
     * quicker. */
    public Map<Long, ConfigurationChange> after(final long place) {
        if (place == configuration.version()) {
            return Map.of();
        }
        if (!changes.containsKey(place + 1) || configuration.version() - place > CHANGES_AT_ONCE) {
            return null;
        }
        return changes.tailMap(place, false);
    }
}
