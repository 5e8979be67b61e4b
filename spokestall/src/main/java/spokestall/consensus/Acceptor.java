package spokestall.consensus;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.TreeMap;
import spokestall.message.MessageSender;
import spokestall.storage.SegmentedLog;

/**
 * A voter: promises proposal numbers and accepts values for the registers that it stores, on behalf of one voter set.
 *
 * <p><b>Protocol.</b> Each key is a register of its own and each change of it a single-decree agreement (Paxos): a proposer
 * sends {@link ConsensusMessage.Prepare} with a proposal number, then {@link ConsensusMessage.Accept} with a value. An acceptor
 * promises a number that is not below the one it promised before, and accepts a value under such a number. A value that a
 * majority of the voter set accepted under one number is chosen. Only messages of this acceptor's own generation and epoch count;
 * a sender with an older voter set receives the newer one.
 *
 * <p><b>States and transitions</b>, all made by {@link #transitionTo}:
 *
 * <ul>
 *   <li>{@link State#BLANK}: no voter slot. To CATCHING_UP when a voter set arrives, or on opening a disk that has a slot; to
 *       VOTING on opening a disk that has caught up.
 *   <li>{@link State#CATCHING_UP}: has a voter set whose record is not synced yet, or a slot without the state that goes with it;
 *       promises and accepts nothing. To VOTING when both are on disk; to BLANK when the voter set has no slot for this disk.
 *   <li>{@link State#VOTING}: to CATCHING_UP while a newer voter set is being written.
 *   <li>{@link State#RESIGNED}: votes in no epoch of this generation again, since a new generation may start from what it has. To
 *       CATCHING_UP when a newer generation's voter set arrives.
 *   <li>{@link State#STOPPED} is not stored: it hides any other state while the disk takes no writes.
 * </ul>
 *
 * From every state, a resignation leads to RESIGNED and a reset of the identity to BLANK.
 *
 * <p><b>What is synced before which reply.</b> The promised number before {@link ConsensusMessage.Promise}; the accepted number and
 * value before {@link ConsensusMessage.Accepted}; the voter set before any reply in its epoch; registers, version floor and the
 * record of the catch-up before the first reply of a new voter. A reply to a peek, and to a handover request, shows synced state
 * only.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class Acceptor {
    /** The states of an acceptor. The names are written into replies of the operator's calls. */
    public enum State {
        /** Without a voter slot. */
        BLANK,
        /** With a voter set, and without a part of what it takes to vote in it. */
        CATCHING_UP,
        /** Promises and accepts. */
        VOTING,
        /** Gave up its vote in this generation for a new one. */
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
    /** Counts the voter sets taken in this incarnation, so that a write that was overtaken by a newer one has no effect. */
    private long voterSetUpdates;

    private boolean lastLoggedCanWrite = true;

    /**
     * Opens the stored state; the acceptor votes at once if its disk has caught up in its voter set's generation.
     *
     * @param name the name of this core, as in its voter slot
     * @param segmentedLog what the state is stored in; used by this acceptor alone
     * @param freshDiskId the identity for a disk that has none
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
     * Stores a record of this node's own beside the registers, or removes it if the value is null.
     *
     * @param key begins with a tilde, so that it can't be a register's
     */
    public void putLocalRecord(final String key, final byte[] value, final WriteCallback done) {
        storage.putLocalRecord(key, value, done);
    }

    /** Returns a record of this node's own, or null. */
    public byte[] localRecord(final String key) {
        return storage.localRecord(key);
    }

    /** Returns whether this voter has the state that it votes with, also while it doesn't vote for a moment. */
    public boolean hasState() {
        return state != State.RESIGNED && hasStateOnDisk();
    }

    /** Returns whether this voter has its slot and fetches the state that it lacks from the others. */
    public boolean isCatchingUp() {
        return state() == State.CATCHING_UP && hasVoterSlot();
    }

    /**
     * Returns whether the state that it votes with is on its disk, also after it resigned: a later attempt at a new generation
     * needs that state as much as the first.
     */
    public boolean hasStateOnDisk() {
        return storage.canRead() && hasVoterSlot() && storage.isCaughtUp(voterSet.generation());
    }

    /**
     * Returns whether this disk's identity has voted, or may have. Such an identity must never get a slot anew: it would not know
     * what it missed while it had none.
     */
    public boolean mayHaveVoted() {
        return storage.hasEverCaughtUp();
    }

    /** Returns whether the disk was blank when this incarnation opened it. */
    public boolean openedBlank() {
        return storage.openedBlank();
    }

    /** Returns whether the disk takes writes, as far as is known. */
    public boolean canWrite() {
        return storage.canWrite();
    }

    /** Adds a listener for synced changes of registers. */
    public void addListener(final RegisterListener listener) {
        storage.addListener(listener);
    }

    /** Returns the state. */
    public State state() {
        return storage.canWrite() ? state : State.STOPPED;
    }

    /** Returns the newest voter set known here, or null if there was none yet. */
    public VoterSet voterSet() {
        return voterSet;
    }

    /** Returns this disk's identity. */
    public String diskId() {
        return storage.diskId();
    }

    /** Returns the number of the newest synced record of this disk. */
    public long syncedSeq() {
        return storage.syncedSeq();
    }

    /** Returns the live view of all registers, in the order of their keys; some may not be synced yet. */
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

    /** Takes a newer voter set; from here on, messages of older ones are rejected. An older or equal one is ignored. */
    public void updateVoterSet(final VoterSet next) {
        if (!next.newerThan(voterSet) || !storage.canWrite()) {
            return;
        }
        final boolean newGeneration = voterSet == null || voterSet.generation() != next.generation();
        final State previous = state;
        voterSet = next;
        final long update = ++voterSetUpdates;
        // Until the voter set is synced no vote is cast, so a power loss can't bring the old one back under a new vote.
        final boolean staysVoter = previous == State.VOTING && !newGeneration && hasVoterSlot();
        // Who resigned from a generation did so for all its epochs, also while a voter set is being written.
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
        // Who had caught up by the time the voter set arrived has all that a voter needs, though it hadn't voted yet.
        if (staysVoter || hasStateOnDisk()) {
            transitionTo(State.VOTING, "voter_set_synced");
        } else if (!hasVoterSlot()) {
            transitionTo(State.BLANK, "no_voter_slot");
        } else {
            catchUp.restart();
            transitionTo(State.CATCHING_UP, "voter_slot_assigned");
        }
    }

    /** Removes a register for good. The caller makes sure that {@link RegisterGuard#isPruned} holds for its key from then on. */
    public void removeRegister(final String key) {
        storage.removeRegister(key);
    }

    /** Returns the version up to which registers of versions were pruned; none of them is ever created anew here. */
    public long versionFloor() {
        return storage.versionFloor();
    }

    /**
     * Raises the version floor. Registers below it may be removed only once {@code synced} runs, so that none is ever missing here
     * without a floor that says so. A floor that isn't higher is ignored.
     */
    public void raiseVersionFloor(final long floor, final Runnable synced) {
        storage.raiseVersionFloor(floor, synced);
    }

    /**
     * Ends this voter's part in its generation, because it promised its state to an attempt at a new one.
     *
     * @param generation the generation that the attempt starts from; a newer one than this goes on voting
     */
    public void resign(final long generation) {
        if (voterSet == null || voterSet.generation() <= generation) {
            transitionTo(State.RESIGNED, "resigned");
        }
    }

    /** Starts over as a blank disk under a fresh identity, after a resignation that led to nothing or the loss of the slot. */
    public void resetIdentity(final String freshDiskId) {
        storage.writeDiskId(freshDiskId);
        storage.clear();
        transitionTo(State.BLANK, "identity_reset");
    }

    /** Starts a new generation with its first voter set and its first registers, which replace all that was here. */
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

    /** Starts a generation that others started before, as long as this disk, which has a slot in its first voter set, never voted. */
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

    /** The voter set and registers were written before, so once this record is synced, so are they. */
    private void completeCatchUp(final long update) {
        storage.writeCaughtUp(voterSet.generation(), synced -> {
            if (synced && update == voterSetUpdates && hasVoterSlot() && state == State.CATCHING_UP) {
                transitionTo(State.VOTING, "caught_up");
            }
        });
    }

    /** Retries writes that the disk refused, and requests for pages of the catch-up. */
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

    /** What the others pruned is not among their registers, so it must be here in the form that they keep it in. */
    private void completeCatchUpIfPossible() {
        if (catchUp.isComplete(voterSet) && guard.hasSnapshotUpTo(catchUp.highestVersionFloor())) {
            raiseVersionFloor(catchUp.highestVersionFloor(), () -> {});
            completeCatchUp(voterSetUpdates);
        }
    }

    /**
     * Handles a message of a proposer or another voter. Messages that are for others than acceptors are ignored.
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

    /** Returns OK if this acceptor votes in the sender's epoch. A sender with an older voter set receives the newer one. */
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
