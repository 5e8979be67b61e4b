package spokestall.consensus;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spokestall.message.MessageCodec;
import spokestall.storage.SegmentedLog;

/**
 * An acceptor's stored state: the registers by key, and node-local records under keys that start with a tilde (the disk identity,
 * the voter set, the generation in which the disk caught up, the version floor).
 *
 * <p>A register changes in memory at once, so that the acceptor checks the next message against the new state, and is rolled back
 * if its write fails. {@link #syncedRegister} returns the state that survives a power loss; only that state may leave this node.
 * Writes reach the disk in the order of the calls.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class AcceptorStorage {
    // Stored on the disks of running fleets: these keys must not change.
    static final String VOTER_SET_KEY = "~voters";
    static final String CAUGHT_UP_KEY = "~caught";
    static final String DISK_ID_KEY = "~disk";
    static final String VERSION_FLOOR_KEY = "~floor";
    private static final String LOCAL_PREFIX = "~";

    private final SegmentedLog segmentedLog;
    private final TreeMap<String, Register> registers = new TreeMap<>();
    /** Newest synced state of each register that has writes in flight, by key. */
    private final Map<String, Register> syncedStates = new HashMap<>();

    private final Map<String, Integer> writesInFlight = new HashMap<>();
    private final List<RegisterListener> listeners = new ArrayList<>();
    private final boolean openedBlank;
    private String diskId;
    private long versionFloor;

    /** Reads the stored state. Gives the identity {@code freshDiskId} to a disk that has none. */
    AcceptorStorage(final SegmentedLog segmentedLog, final String freshDiskId) {
        this.segmentedLog = segmentedLog;
        final byte[] storedDiskId = localRecord(DISK_ID_KEY);
        openedBlank = storedDiskId == null;
        if (openedBlank) {
            writeDiskId(freshDiskId);
        } else {
            diskId = new String(storedDiskId, StandardCharsets.UTF_8);
        }
        final byte[] storedFloor = localRecord(VERSION_FLOOR_KEY);
        versionFloor = storedFloor == null ? 0 : ByteBuffer.wrap(storedFloor).getLong();
        segmentedLog.table().forEach((key, value) -> {
            if (!key.startsWith(LOCAL_PREFIX)) {
                registers.put(key, MessageCodec.decodeRecord(value, Register.class));
            }
        });
    }

    /** Returns whether the disk had no identity when this incarnation opened it. */
    boolean openedBlank() {
        return openedBlank;
    }

    /** Returns the identity of this disk. */
    String diskId() {
        return diskId;
    }

    /** Replaces the identity of this disk. */
    void writeDiskId(final String freshDiskId) {
        diskId = freshDiskId;
        put(DISK_ID_KEY, diskId.getBytes(StandardCharsets.UTF_8), WriteCallback.IGNORED);
    }

    /** Writes a node-local record, or removes the record if the value is null. */
    void putLocalRecord(final String key, final byte[] value, final WriteCallback done) {
        assert key.startsWith(LOCAL_PREFIX) : key;
        put(key, value, done);
    }

    /** Returns a node-local record, or null if there is none. */
    byte[] localRecord(final String key) {
        return segmentedLog.table().get(key);
    }

    /** Returns the stored voter set, or null if none is stored. */
    VoterSet readVoterSet() {
        final byte[] stored = localRecord(VOTER_SET_KEY);
        return stored == null ? null : MessageCodec.decodeRecord(stored, VoterSet.class);
    }

    /** Stores the voter set that the acceptor votes in from now on. */
    void writeVoterSet(final VoterSet voterSet, final WriteCallback done) {
        put(VOTER_SET_KEY, MessageCodec.encodeRecord(voterSet), done);
    }

    /** Records that this disk has all registers that a voter of the generation needs. */
    void writeCaughtUp(final long generation, final WriteCallback done) {
        put(CAUGHT_UP_KEY, caughtUpMarker(generation).getBytes(StandardCharsets.UTF_8), done);
    }

    /** Returns whether {@link #writeCaughtUp} has recorded the generation for this disk's current identity. */
    boolean isCaughtUp(final long generation) {
        return storedCaughtUpMarker().equals(caughtUpMarker(generation));
    }

    /** Returns whether this disk's current identity has caught up in any generation, and so may have voted. */
    boolean hasEverCaughtUp() {
        return storedCaughtUpMarker().startsWith(diskId + "/");
    }

    private String caughtUpMarker(final long generation) {
        return diskId + "/" + generation;
    }

    private String storedCaughtUpMarker() {
        final byte[] stored = localRecord(CAUGHT_UP_KEY);
        return stored == null ? "" : new String(stored, StandardCharsets.UTF_8);
    }

    /** Returns the version up to which version registers were pruned. */
    long versionFloor() {
        return versionFloor;
    }

    /** Raises the version floor and runs {@code synced} once it is on disk. A floor that isn't higher is ignored. */
    void raiseVersionFloor(final long floor, final Runnable synced) {
        if (floor <= versionFloor) {
            return;
        }
        final byte[] value = ByteBuffer.allocate(Long.BYTES).putLong(floor).array();
        put(VERSION_FLOOR_KEY, value, isSynced -> {
            if (isSynced && floor > versionFloor) {
                versionFloor = floor;
                synced.run();
            }
        });
    }

    /** Returns a live view of all registers, ordered by key; some may not be synced yet. */
    TreeMap<String, Register> registers() {
        return registers;
    }

    /** Returns the current state of a register, synced or not; {@link Register#EMPTY} if there is none. */
    Register register(final String key) {
        return registers.getOrDefault(key, Register.EMPTY);
    }

    /** Returns the synced state of a register; {@link Register#EMPTY} if there is none. */
    Register syncedRegister(final String key) {
        return syncedStates.getOrDefault(key, register(key));
    }

    /** Adds a listener, which can't be removed. Listeners are called in the order in which they were added. */
    void addListener(final RegisterListener listener) {
        listeners.add(listener);
    }

    /** Writes a register. Neither its promised nor its accepted number may decrease. Calls the listeners before {@code done}. */
    void writeRegister(final String key, final Register next, final WriteCallback done) {
        final Register previous = registers.put(key, next);
        assert previous == null || previous.promised().compareTo(next.promised()) <= 0
                : "promised number decreased for key " + key;
        assert previous == null || previous.accepted().compareTo(next.accepted()) <= 0
                : "accepted number decreased for key " + key;
        syncedStates.putIfAbsent(key, previous == null ? Register.EMPTY : previous);
        writesInFlight.merge(key, 1, Integer::sum);
        put(key, MessageCodec.encodeRecord(next), synced -> {
            onRegisterWritten(key, previous, next, synced);
            done.onWriteCompleted(synced);
        });
    }

    private void onRegisterWritten(
            final String key, final Register previous, final Register written, final boolean synced) {
        if (writesInFlight.merge(key, -1, Integer::sum) == 0) {
            writesInFlight.remove(key);
            syncedStates.remove(key);
        } else if (synced) {
            syncedStates.put(key, written);
        }
        if (synced) {
            for (final RegisterListener listener : listeners) {
                listener.onRegisterSynced(key, written);
            }
        } else if (registers.get(key) == written && previous != null) {
            registers.put(key, previous);
        } else if (registers.get(key) == written) {
            registers.remove(key);
        }
    }

    /** Merges another voter's register: keeps the higher promised number, and the value with the higher accepted number. */
    void mergeRegister(final String key, final Register other) {
        final Register own = register(key);
        final boolean acceptedLater = other.accepted().compareTo(own.accepted()) > 0;
        final boolean promisedHigher = other.promised().compareTo(own.promised()) > 0;
        if (acceptedLater || promisedHigher) {
            final Register merged = new Register(
                    promisedHigher ? other.promised() : own.promised(),
                    acceptedLater ? other.accepted() : own.accepted(),
                    acceptedLater ? other.value() : own.value());
            writeRegister(key, merged, WriteCallback.IGNORED);
        }
    }

    /** Removes a register if there is one under the key. */
    void removeRegister(final String key) {
        if (registers.remove(key) != null) {
            put(key, null, WriteCallback.IGNORED);
        }
    }

    /** Removes all registers and the caught-up record. Keeps the voter set, the disk identity and the version floor. */
    void clear() {
        for (final String key : List.copyOf(registers.keySet())) {
            removeRegister(key);
        }
        put(CAUGHT_UP_KEY, null, WriteCallback.IGNORED);
    }

    private void put(final String key, final byte[] value, final WriteCallback done) {
        segmentedLog.put(key, value, done::onWriteCompleted);
    }

    /** Returns whether the disk takes writes, as far as this node knows. */
    boolean canWrite() {
        return segmentedLog.canWrite();
    }

    /** Returns whether the stored state was readable. */
    boolean canRead() {
        return segmentedLog.state() != SegmentedLog.State.BROKEN;
    }

    /** Returns the state of the underlying log. */
    SegmentedLog.State logState() {
        return segmentedLog.state();
    }

    /** Retries the writes that the disk refused. */
    void retryWrites() {
        segmentedLog.retry();
    }

    /** Returns the sequence number of the newest synced record. */
    long syncedSeq() {
        return segmentedLog.syncedSeq();
    }
}
