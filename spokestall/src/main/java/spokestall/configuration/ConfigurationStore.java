package spokestall.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The policy a node has applied, with the newest changes for those who follow from a place on. */
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
    private Configuration policy;

    /** Example: {@code new ConfigurationStore(1024)} keeps that many changes for followers. */
    public ConfigurationStore(final int changesKept) {
        this(changesKept, new NativeConfigurationFormat(null));
    }

    /** Example: {@code new ConfigurationStore(1024, form)} keeps policies of that form. */
    public ConfigurationStore(final int changesKept, final ConfigurationFormat form) {
        this.changesKept = changesKept;
        this.form = form;
        this.policy = form.read(0, JSON.createObjectNode(), null);
    }

    /** The version in force here. Example: {@code book.policy().version()} */
    public Configuration policy() {
        return policy;
    }

    /** More than the policy in force here may not be, written out. Example: {@code book.bytesMost() <= bound} */
    public long bytesMost() {
        return bytesMost;
    }

    /** The version an order was accepted as, or null: those of ten minutes at least, and never fewer than 512, but never more
     * than 2048. Example: {@code book.versionOf("chg-1")} */
    public Long versionOf(final String changeId) {
        return orders.versionOf(changeId);
    }

    /** The tree after a change, not yet applied. Example: {@code book.preview(change)} */
    public JsonNode preview(final ConfigurationChange change) {
        try {
            final JsonNode json = JSON.readTree(change.json());
            return change.kind() == ConfigurationChange.Kind.PUT ? json : MergePatch.apply(policy.tree(), json);
        } catch (final IOException e) {
            throw new IllegalArgumentException("a change that is no JSON was accepted", e);
        }
    }

    /** Applies the next change. Example: {@code book.apply(book.policy().version() + 1, change);} */
    public void apply(final long version, final ConfigurationChange change) {
        assert version > policy.version() : version + " after " + policy.version();
        policy = form.read(version, preview(change), policy);
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

    /** The orders that were accepted lately, the oldest first. Example: {@code new ConfigurationSnapshot(17, json, book.orders())} */
    public List<CommittedChange> orders() {
        return orders.all();
    }

    /** Starts from a snapshot if it is newer. Example: {@code book.load(snapshot);} */
    public boolean load(final ConfigurationSnapshot snapshot) {
        if (snapshot.version() <= policy.version()) {
            return false;
        }
        try {
            bytesMost = snapshot.json().length;
            policy = form.read(snapshot.version(), JSON.readTree(snapshot.json()), null);
        } catch (final IOException e) {
            throw new IllegalArgumentException("bad snapshot", e);
        }
        changes.clear();
        changesBytes = 0;
        orders.replace(snapshot.orders());
        return true;
    }

    /** This version whole. Example: {@code post.send(to, book.snapshot());} */
    public ConfigurationSnapshot snapshot() {
        if (snapshot != null && snapshot.version() == policy.version()) {
            return snapshot;
        }
        try {
            snapshot = new ConfigurationSnapshot(policy.version(), JSON.writeValueAsBytes(policy.tree()), orders.all());
            return snapshot;
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The changes that are kept from after a place, however far they reach back. Example: {@code book.kept(17)} */
    public Map<Long, ConfigurationChange> kept(final long place) {
        return changes.tailMap(place, false);
    }

    /** The changes after a place, or null when they don't reach back that far or are so many that the snapshot is
     * quicker. Example: {@code book.after(17)} */
    public Map<Long, ConfigurationChange> after(final long place) {
        if (place == policy.version()) {
            return Map.of();
        }
        if (!changes.containsKey(place + 1) || policy.version() - place > CHANGES_AT_ONCE) {
            return null;
        }
        return changes.tailMap(place, false);
    }
}
