package spokestall.consensus;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.TreeMap;
import spokestall.message.MessageSender;
import spokestall.storage.SegmentedLog;

/**
 * A Paxos acceptor: promises proposal numbers and accepts values for the registers that it stores, as a voter of one voter set.
 *
 * <p><b>Protocol.</b> Each key has its own register, and single-decree Paxos decides each change of a register: a proposer
 * sends {@link ConsensusMessage.Prepare} with a proposal number, then {@link ConsensusMessage.Accept} with a value. An acceptor
 * promises a number, and accepts a value under a number, only if that number is not below the one it promised before. A value that
 * a majority of the voter set has accepted under one number is chosen. The acceptor handles only messages of its own generation
 * and epoch; it sends its voter set to a sender that has an older one.
 *
 * <p><b>States and transitions.</b> {@link #transitionTo} makes every transition:
 *
 * <ul>
 *   <li>{@link State#BLANK}: the acceptor has no voter slot. Changes to CATCHING_UP when a voter set arrives or when the acceptor
 *       opens a disk that has a slot; to VOTING when it opens a disk that has caught up.
 *   <li>{@link State#CATCHING_UP}: the acceptor has a voter set that is not synced yet, or a slot without the registers that a
 *       voter needs. It promises and accepts nothing. Changes to VOTING when the voter set and the registers are on disk; to
 *       BLANK when the voter set has no slot for this disk.
 *   <li>{@link State#VOTING}: changes to CATCHING_UP while the acceptor writes a newer voter set.
 *   <li>{@link State#RESIGNED}: the acceptor never votes in an epoch of this generation again, since a new generation may start
 *       from the registers it has. Changes to CATCHING_UP when the voter set of a newer generation arrives.
 *   <li>{@link State#STOPPED} is not stored: {@link #state()} returns it in place of any other state while the disk takes no
 *       writes.
 * </ul>
 *
 * From every state, a resignation leads to RESIGNED and an identity reset leads to BLANK.
 *
 * <p><b>Durability.</b> The acceptor syncs the promised number before it sends {@link ConsensusMessage.Promise}; the accepted
 * number and value before {@link ConsensusMessage.Accepted}; the voter set before any reply in its epoch; and the registers, the
 * version floor and the caught-up record before the first reply of a new voter. Replies to a peek or to a handover request
 * contain only synced state.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class Acceptor {
    /** The states of an acceptor. Replies to operator calls contain these names. */
    public enum State {
        /** Has no voter slot. */
        BLANK,
        /** Has a voter set, but not yet all the synced state that it needs to vote in it. */
        CATCHING_UP,
        /** Promises proposal numbers and accepts values. */
        VOTING,
        /** Gave up its vote in this generation so that a new generation can start. */
        RESIGNED,
        /** Its disk takes no writes. */
        STOPPED
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String name;
    private final MessageSender sender;
    private final RegisterGuard guard;
    private final AcceptorStorage storage;
    private final AcceptorCatchUp catchUp;
    private final AcceptorRequestHandler requestHandler;
    private VoterSet voterSet;
    private State state = State.BLANK;
    /** Number of voter set updates in this incarnation. Callbacks of a write that a newer update has superseded do nothing. */
    private long voterSetUpdates;

    private boolean lastLoggedCanWrite = true;

    /**
     * Reads the stored state. The acceptor votes at once if its disk has caught up in the generation of the stored voter set.
     *
     * @param name the name of this core, as in its voter slot
     * @param segmentedLog the log that stores the state; no other component uses it
     * @param freshDiskId the identity that a disk without one receives
     */
    public Acceptor(
            final String name,
            final SegmentedLog segmentedLog,
            final MessageSender sender,
            final RegisterGuard guard,
            final String freshDiskId) {
        this.name = name;
        this.sender = sender;
        this.guard = guard;
        this.storage = new AcceptorStorage(segmentedLog, freshDiskId);
        this.catchUp = new AcceptorCatchUp(name, storage, sender);
        this.requestHandler = new AcceptorRequestHandler(name, storage, sender, guard);
        voterSet = storage.readVoterSet();
        if (hasVoterSlot()) {
            transitionTo(storage.isCaughtUp(voterSet.generation()) ? State.VOTING : State.CATCHING_UP, "opened");
        }
    }

    /**
     * Stores a node-local record beside the registers, or removes the record if the value is null.
     *
     * @param key begins with a tilde, which no register key does
     */
    public void putLocalRecord(final String key, final byte[] value, final WriteCallback done) {
        storage.putLocalRecord(key, value, done);
    }

    /** Returns a node-local record, or null if there is none. */
    public byte[] localRecord(final String key) {
        return storage.localRecord(key);
    }

    /**
     * Returns whether this voter has the registers it needs to vote and hasn't resigned. Stays true while the voter briefly doesn't
     * vote because it writes a newer voter set.
     */
    public boolean hasState() {
        return state != State.RESIGNED && hasStateOnDisk();
    }

    /** Returns whether this voter has a slot and is fetching missing registers from the other voters. */
    public boolean isCatchingUp() {
        return state() == State.CATCHING_UP && hasVoterSlot();
    }

    /**
     * Returns whether the registers this voter needs to vote are on its disk. Unlike {@link #hasState}, this stays true after a
     * resignation: a second attempt to start a new generation needs those registers as much as the first one.
     */
    public boolean hasStateOnDisk() {
        return storage.canRead() && hasVoterSlot() && storage.isCaughtUp(voterSet.generation());
    }

    /**
     * Returns whether this disk's identity has voted, or may have. Such an identity must never receive a slot again: it would not
     * know which changes it missed while it had no slot.
     */
    public boolean mayHaveVoted() {
        return storage.hasEverCaughtUp();
    }

    /** Returns whether the disk had no identity when this incarnation opened it. */
    public boolean openedBlank() {
        return storage.openedBlank();
    }

    /** Returns whether the disk takes writes, as far as this node knows. */
    public boolean canWrite() {
        return storage.canWrite();
    }

    /** Adds a listener for synced register changes. Listeners can't be removed. */
    public void addListener(final RegisterListener listener) {
        storage.addListener(listener);
    }

    /** Returns the state; {@link State#STOPPED} while the disk takes no writes. */
    public State state() {
        return storage.canWrite() ? state : State.STOPPED;
    }

    /** Returns the newest voter set that this acceptor has received, or null if it has received none. */
    public VoterSet voterSet() {
        return voterSet;
    }

    /** Returns this disk's identity. */
    public String diskId() {
        return storage.diskId();
    }

    /** Returns the sequence number of the newest synced record on this disk. */
    public long syncedSeq() {
        return storage.syncedSeq();
    }

    /** Returns a live view of all registers, ordered by key; some may not be synced yet. */
    public TreeMap<String, Register> registers() {
        return storage.registers();
    }

    private boolean hasVoterSlot() {
        final Voter voter = voterSet == null ? null : voterSet.voter(name);
        return voter != null && voter.diskId().equals(storage.diskId());
    }

    /** Makes every transition of {@link #state}. */
    private void transitionTo(final State next, final String reason) {
        if (state == next) {
            return;
        }
        assert next != State.STOPPED && !(state == State.RESIGNED && next == State.VOTING) : state + " to " + next;
        LOG.atInfo().log(
                "event=acceptor_state_changed node=%s from=%s to=%s reason=%s epoch=%s",
                name, state, next, reason, voterSet == null ? "none" : voterSet.generation() + "/" + voterSet.epoch());
        state = next;
    }

    /**
     * Adopts a newer voter set; from here on, the acceptor rejects messages of older ones. Ignores a voter set that is not newer,
     * and any voter set while the disk takes no writes.
     */
    public void updateVoterSet(final VoterSet next) {
        if (!next.newerThan(voterSet) || !storage.canWrite()) {
            return;
        }
        final boolean newGeneration = voterSet == null || voterSet.generation() != next.generation();
        final State previous = state;
        voterSet = next;
        final long update = ++voterSetUpdates;
        // The acceptor casts no vote until the voter set is synced. Otherwise it could vote in the new epoch, lose
        // power and restart in the old one.
        final boolean staysVoter = previous == State.VOTING && !newGeneration && hasVoterSlot();
        // A resignation holds for all epochs of its generation, also while the acceptor writes the voter set of a later
        // epoch.
        if (previous != State.RESIGNED || newGeneration) {
            transitionTo(State.CATCHING_UP, "voter_set_received");
        }
        storage.writeVoterSet(next, synced -> {
            if (synced && update == voterSetUpdates && state != State.RESIGNED) {
                onVoterSetSynced(staysVoter);
            }
        });
        if (newGeneration) {
            storage.clear();
        }
    }

    private void onVoterSetSynced(final boolean staysVoter) {
        // A disk that had caught up when the voter set arrived has all registers that a voter needs, even if it hasn't
        // voted yet.
        if (staysVoter || hasStateOnDisk()) {
            transitionTo(State.VOTING, "voter_set_synced");
        } else if (!hasVoterSlot()) {
            transitionTo(State.BLANK, "no_voter_slot");
        } else {
            catchUp.restart();
            transitionTo(State.CATCHING_UP, "voter_slot_assigned");
        }
    }

    /** Removes a register permanently. The caller ensures that {@link RegisterGuard#isPruned} holds for its key from then on. */
    public void removeRegister(final String key) {
        storage.removeRegister(key);
    }

    /** Returns the version up to which version registers were pruned; this acceptor never creates one of those again. */
    public long versionFloor() {
        return storage.versionFloor();
    }

    /**
     * Raises the version floor. The caller may remove registers up to the floor only once {@code synced} runs, so that a register
     * is never missing on a disk whose floor doesn't cover it. A floor that isn't higher is ignored.
     */
    public void raiseVersionFloor(final long floor, final Runnable synced) {
        storage.raiseVersionFloor(floor, synced);
    }

    /**
     * Stops voting in the current generation, because this voter promised its state to an attempt to start a new generation.
     *
     * @param generation the generation that the attempt starts from; an acceptor in a newer generation continues to vote
     */
    public void resign(final long generation) {
        if (voterSet == null || voterSet.generation() <= generation) {
            transitionTo(State.RESIGNED, "resigned");
        }
    }

    /**
     * Removes all registers and gives the disk a fresh identity, after a resignation that led to no new generation or after the
     * loss of the voter slot.
     */
    public void resetIdentity(final String freshDiskId) {
        storage.writeDiskId(freshDiskId);
        storage.clear();
        transitionTo(State.BLANK, "identity_reset");
    }

    /** Starts a new generation with its first voter set and its initial registers, which replace all registers on this disk. */
    public void startGeneration(final VoterSet first, final List<ConsensusMessage.Entry> entries) {
        if (!first.newerThan(voterSet)) {
            return;
        }
        storage.clear();
        voterSet = first;
        final long update = ++voterSetUpdates;
        transitionTo(State.CATCHING_UP, "generation_started");
        storage.writeVoterSet(first, WriteCallback.IGNORED);
        for (final ConsensusMessage.Entry entry : entries) {
            storage.writeRegister(entry.key(), entry.register(), WriteCallback.IGNORED);
        }
        completeCatchUp(update);
    }

    /**
     * Starts a generation that other voters have started before. Has no effect unless this disk has a slot in the generation's
     * first voter set, still has one, and is catching up in that generation, so that it hasn't voted in it.
     */
    public void startGenerationLate(final VoterSet first, final List<ConsensusMessage.Entry> entries) {
        final Voter firstSlot = first.voter(name);
        if (state != State.CATCHING_UP
                || voterSet == null
                || voterSet.generation() != first.generation()
                || !hasVoterSlot()
                || hasState()
                || firstSlot == null
                || !firstSlot.diskId().equals(storage.diskId())) {
            return;
        }
        for (final ConsensusMessage.Entry entry : entries) {
            storage.mergeRegister(entry.key(), entry.register());
        }
        completeCatchUp(voterSetUpdates);
    }

    /**
     * Records that this disk has caught up, and votes once the record is synced. The disk syncs records in the order in which they
     * are written, so the voter set and the registers written before are synced by then.
     */
    private void completeCatchUp(final long update) {
        storage.writeCaughtUp(voterSet.generation(), synced -> {
            if (synced && update == voterSetUpdates && hasVoterSlot() && state == State.CATCHING_UP) {
                transitionTo(State.VOTING, "caught_up");
            }
        });
    }

    /**
     * Retries writes that the disk refused and page requests of the catch-up.
     *
     * @param address where this node receives messages
     */
    public void onTick(final String address) {
        storage.retryWrites();
        logWriteState();
        if (isCatchingUp()) {
            catchUp.requestPages(voterSet, address);
            completeCatchUpIfPossible();
        }
    }

    private void logWriteState() {
        if (lastLoggedCanWrite != storage.canWrite()) {
            lastLoggedCanWrite = storage.canWrite();
            LOG.atWarning().log(
                    "event=disk_write_state_changed node=%s canWrite=%s logState=%s",
                    name, lastLoggedCanWrite, storage.logState());
        }
    }

    /**
     * Completes the catch-up once enough voters have been read to the end and a snapshot on this disk covers the versions that they
     * pruned, since their pages don't contain pruned registers.
     */
    private void completeCatchUpIfPossible() {
        if (catchUp.isComplete(voterSet) && guard.hasSnapshotUpTo(catchUp.highestVersionFloor())) {
            raiseVersionFloor(catchUp.highestVersionFloor(), () -> {});
            completeCatchUp(voterSetUpdates);
        }
    }

    /**
     * Handles a message of a proposer or another voter. Ignores messages that are not for acceptors.
     *
     * @param address where this node receives messages
     */
    public void onMessage(final ConsensusMessage message, final String address) {
        if (message instanceof ConsensusMessage.Prepare prepare) {
            requestHandler.onPrepare(prepare, checkEpoch(prepare.generation(), prepare.epoch(), prepare.from()));
        } else if (message instanceof ConsensusMessage.Accept accept) {
            requestHandler.onAccept(accept, checkEpoch(accept.generation(), accept.epoch(), accept.from()));
        } else if (message instanceof ConsensusMessage.Chosen chosen) {
            onChosen(chosen);
        } else if (message instanceof ConsensusMessage.HandoverRequest request) {
            onHandoverRequest(request);
        } else if (message instanceof ConsensusMessage.CatchUpRequest request) {
            onCatchUpRequest(request);
        } else if (message instanceof ConsensusMessage.CatchUpResponse response) {
            onCatchUpResponse(response, address);
        }
    }

    /** Returns OK if this acceptor votes in the sender's epoch. Sends the newer voter set to a sender that has an older one. */
    private ConsensusMessage.Reply checkEpoch(final long generation, final long epoch, final String from) {
        if (new VoterSet(generation, epoch, List.of()).newerThan(voterSet)) {
            return ConsensusMessage.Reply.NOT_VOTING;
        }
        if (!voterSet.hasEpoch(generation, epoch)) {
            sender.send(from, new ConsensusMessage.VoterSetUpdate(voterSet));
            return ConsensusMessage.Reply.STALE_VOTER_SET;
        }
        return state() == State.VOTING && guard.ready() ? ConsensusMessage.Reply.OK : ConsensusMessage.Reply.NOT_VOTING;
    }

    private void onChosen(final ConsensusMessage.Chosen chosen) {
        if (voterSet != null && voterSet.hasEpoch(chosen.generation(), chosen.epoch()) && state() == State.VOTING) {
            requestHandler.onChosen(chosen);
        }
    }

    private void onHandoverRequest(final ConsensusMessage.HandoverRequest request) {
        if (checkEpoch(request.generation(), request.epoch(), request.from()) == ConsensusMessage.Reply.OK) {
            requestHandler.onHandoverRequest(request);
        }
    }

    private void onCatchUpRequest(final ConsensusMessage.CatchUpRequest request) {
        if (checkEpoch(request.generation(), request.epoch(), request.from()) == ConsensusMessage.Reply.OK) {
            catchUp.sendPage(request);
        }
    }

    private void onCatchUpResponse(final ConsensusMessage.CatchUpResponse response, final String address) {
        if (isCatchingUp()
                && voterSet.hasEpoch(response.generation(), response.epoch())
                && catchUp.onResponse(response, voterSet, address)) {
            completeCatchUpIfPossible();
        }
    }
}
