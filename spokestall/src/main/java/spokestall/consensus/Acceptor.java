package spokestall.consensus;

import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import spokestall.message.MessageCodec;
import spokestall.message.MessageSender;
import spokestall.storage.SegmentedLog;

/**
 * A voter's registers. It answers only when what it answers is synced, and only for the table of voters it is in.
 * Keys that start with a tilde are its own and are no registers.
 */
public final class Acceptor {
    /** Explicit states of a voter. */
    public enum State {
        BLANK,
        CATCHING_UP,
        VOTING,
        RESIGNED,
        STOPPED
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    static final String VOTER_SET = "~voters";
    static final String CAUGHT = "~caught";
    static final String DISK = "~disk";
    static final String FLOOR = "~floor";
    private static final int PAGE_BYTES = 256 << 10;
    private final String name;
    private final SegmentedLog segmentedLog;
    private final MessageSender post;
    private final RegisterGuard guard;
    private final TreeMap<String, Register> registers = new TreeMap<>();
    private final Map<String, String> catchUp = new HashMap<>();
    private final Map<String, Boolean> caughtFrom = new HashMap<>();
    private final List<BiConsumer<String, Register>> watchers = new ArrayList<>();
    private final Map<String, Register> before = new HashMap<>();
    private final Map<String, Integer> onTheWay = new HashMap<>();
    private final boolean openedBlank;
    private String diskId;
    private VoterSet voterSet;
    private State state = State.BLANK;
    private long tableEpochDown;
    private long floor;
    private long floorOfOthers;
    private boolean diskTakes = true;

    /** Example: {@code new Acceptor("d1-core", segmentedLog, post, guard, freshId)}; freshId is used only on a blank disk. */
    public Acceptor(
            final String name,
            final SegmentedLog segmentedLog,
            final MessageSender post,
            final RegisterGuard guard,
            final String freshId) {
        this.name = name;
        this.segmentedLog = segmentedLog;
        this.post = post;
        this.guard = guard;
        final byte[] had = segmentedLog.table().get(DISK);
        openedBlank = had == null;
        diskId = had == null ? freshId : new String(had, StandardCharsets.UTF_8);
        if (had == null) {
            segmentedLog.put(DISK, diskId.getBytes(StandardCharsets.UTF_8), ok -> {});
        }
        final byte[] kept = segmentedLog.table().get(FLOOR);
        floor = kept == null ? 0 : ByteBuffer.wrap(kept).getLong();
        final byte[] table = segmentedLog.table().get(VOTER_SET);
        voterSet = table == null ? null : MessageCodec.decodeRecord(table, VoterSet.class);
        segmentedLog.table().forEach((key, value) -> {
            if (!key.startsWith("~")) {
                registers.put(key, MessageCodec.decodeRecord(value, Register.class));
            }
        });
        final byte[] caught = segmentedLog.table().get(CAUGHT);
        if (caught != null
                && voterSet != null
                && new String(caught, StandardCharsets.UTF_8).equals(caughtMark())
                && seated()) {
            change(State.VOTING, "opened");
        } else if (seated()) {
            change(State.CATCHING_UP, "opened");
        }
    }

    /** Keeps a record of this node's own beside the registers. */
    public void keepOwn(final String key, final byte[] value, final Consumer<Boolean> done) {
        assert key.startsWith("~") : key;
        segmentedLog.put(key, value, done);
    }

    /** A record of this node's own, or null. */
    public byte[] own(final String key) {
        return segmentedLog.table().get(key);
    }

    /** Whether this voter has its state, be it voting at this moment or not. */
    public boolean hasState() {
        return state != State.RESIGNED && keepsState();
    }

    /** Whether it has its seat and reads what it lacks from the others. */
    public boolean catchesUp() {
        return state() == State.CATCHING_UP && seated();
    }

    /** Whether its state is still on its disk, also after it resigned: a later round of a founding needs it as much as the
     * first. */
    public boolean keepsState() {
        final byte[] caught = segmentedLog.table().get(CAUGHT);
        return segmentedLog.state() != SegmentedLog.State.BROKEN
                && seated()
                && caught != null
                && new String(caught, StandardCharsets.UTF_8).equals(caughtMark());
    }

    /** Whether this disk's identity has voted, or may have: it must never get a seat anew, since what it missed without
     * one it would not know of. */
    public boolean hasVoted() {
        final byte[] caught = segmentedLog.table().get(CAUGHT);
        return caught != null && new String(caught, StandardCharsets.UTF_8).startsWith(diskId + "/");
    }

    /** Whether the disk was blank when this life began. */
    public boolean openedBlank() {
        return openedBlank;
    }

    /** Whether this disk still takes writes. */
    public boolean canWrite() {
        return segmentedLog.canWrite();
    }

    /** Called for each register change that is down. */
    public void watch(final BiConsumer<String, Register> watcher) {
        watchers.add(watcher);
    }

    /** Example: {@code if (acceptor.state() != Acceptor.State.VOTING) ...} */
    public State state() {
        return segmentedLog.canWrite() ? state : State.STOPPED;
    }

    /** The table this voter knows, or null. */
    public VoterSet voterSet() {
        return voterSet;
    }

    /** This disk's identity. */
    public String diskId() {
        return diskId;
    }

    /** The number of the newest record that is synced. */
    public long written() {
        return segmentedLog.syncedSeq();
    }

    /** All registers by key. */
    public TreeMap<String, Register> registers() {
        return registers;
    }

    private String caughtMark() {
        return diskId + "/" + voterSet.generation();
    }

    private boolean seated() {
        final Voter voter = voterSet == null ? null : voterSet.voter(name);
        return voter != null && voter.diskId().equals(diskId);
    }

    private void change(final State to, final String why) {
        if (state != to) {
            LOG.atInfo().log(
                    "event=voter node=%s from=%s to=%s why=%s epoch=%s",
                    name, state, to, why, voterSet == null ? "none" : voterSet.generation() + "/" + voterSet.epoch());
            state = to;
        }
    }

    /** Takes a newer table. Votes of older tables are denied from here on. */
    public void adopt(final VoterSet table) {
        if (!table.newerThan(voterSet) || !segmentedLog.canWrite()) {
            return;
        }
        final boolean newGeneration = voterSet == null || voterSet.generation() != table.generation();
        final State was = state;
        voterSet = table;
        final long mark = ++tableEpochDown;
        // Until the table is down no vote is given, so a power loss can't bring the old table back under a new vote.
        final boolean stays = was == State.VOTING && !newGeneration && seated();
        // Whoever resigned from a generation has done so for all its epochs, also while a table is on its way to the
        // disk.
        if (was != State.RESIGNED || newGeneration) {
            change(State.CATCHING_UP, "table");
        }
        segmentedLog.put(VOTER_SET, MessageCodec.encodeRecord(table), ok -> {
            if (!ok || mark != tableEpochDown || state == State.RESIGNED) {
                return;
            }
            if (stays || keepsState()) {
                // The second: it had caught up as the table came, and has all that a seat that votes has.
                change(State.VOTING, "table-down");
            } else if (!seated()) {
                change(State.BLANK, "not-seated");
            } else {
                restartCatchUp();
            }
        });
        if (!stays && newGeneration) {
            dropAll();
        }
    }

    private void dropAll() {
        for (final String key : List.copyOf(registers.keySet())) {
            drop(key);
        }
        segmentedLog.put(CAUGHT, null, ok -> {});
    }

    /** Lets a register go for good. */
    public void drop(final String key) {
        if (registers.remove(key) != null) {
            segmentedLog.put(key, null, ok -> {});
        }
    }

    /** The version up to which the registers of versions were let go; none of them is ever made anew here. */
    public long floor() {
        return floor;
    }

    /** Raises the floor; registers may be let go once it is down, so that none is missing here without it. */
    public void raiseFloor(final long to, final Runnable down) {
        if (to <= floor) {
            return;
        }
        segmentedLog.put(FLOOR, ByteBuffer.allocate(Long.BYTES).putLong(to).array(), ok -> {
            if (ok && to > floor) {
                floor = to;
                down.run();
            }
        });
    }

    /** Stops voting for the sake of a new generation's proposal number. */
    public void resign(final long generation) {
        if (voterSet == null || voterSet.generation() <= generation) {
            change(State.RESIGNED, "new-generation");
        }
    }

    /** Starts over as a blank voter with a fresh identity, after a resignation that came to nothing or the
     * loss of its seat. */
    public void restart(final String freshId) {
        diskId = freshId;
        segmentedLog.put(DISK, diskId.getBytes(StandardCharsets.UTF_8), ok -> {});
        dropAll();
        change(State.BLANK, "restarted");
    }

    /** Takes a new generation's first registers. */
    public void found(final VoterSet table, final List<ConsensusMessage.Entry> entries) {
        if (voterSet != null && !table.newerThan(voterSet)) {
            return;
        }
        dropAll();
        voterSet = table;
        final long mark = ++tableEpochDown;
        change(State.CATCHING_UP, "founded");
        segmentedLog.put(VOTER_SET, MessageCodec.encodeRecord(table), ok -> {});
        for (final ConsensusMessage.Entry entry : entries) {
            store(entry.key(), entry.register(), ok -> {});
        }
        finishCatchUp(mark);
    }

    /** A seat of the first table that missed the founding begins with it, late, as long as it has never voted. */
    public void foundLate(final VoterSet table, final List<ConsensusMessage.Entry> entries) {
        final Voter first = table.voter(name);
        if (state != State.CATCHING_UP
                || voterSet == null
                || voterSet.generation() != table.generation()
                || !seated()
                || hasState()
                || first == null
                || !first.diskId().equals(diskId)) {
            return;
        }
        for (final ConsensusMessage.Entry entry : entries) {
            merge(entry.key(), entry.register());
        }
        finishCatchUp(tableEpochDown);
    }

    private void finishCatchUp(final long mark) {
        segmentedLog.put(CAUGHT, caughtMark().getBytes(StandardCharsets.UTF_8), ok -> {
            if (ok && mark == tableEpochDown && seated() && state == State.CATCHING_UP) {
                change(State.VOTING, "caught-up");
            }
        });
    }

    private void restartCatchUp() {
        catchUp.clear();
        caughtFrom.clear();
        floorOfOthers = 0;
        change(State.CATCHING_UP, "seated");
    }

    /** Asks again for what is missing; called on every beat. */
    public void tick(final String address) {
        segmentedLog.retry();
        tellDisk();
        if (state() != State.CATCHING_UP || !seated()) {
            return;
        }
        for (final Voter voter : voterSet.voters()) {
            if (!voter.name().equals(name) && !caughtFrom.containsKey(voter.name())) {
                requestPage(address, voter);
            }
        }
        finishIfCaught();
    }

    private void tellDisk() {
        if (diskTakes != segmentedLog.canWrite()) {
            diskTakes = segmentedLog.canWrite();
            LOG.atWarning().log("event=disk node=%s takesWrites=%s ring=%s", name, diskTakes, segmentedLog.state());
        }
    }

    private void requestPage(final String address, final Voter voter) {
        post.send(
                voter.address(),
                new ConsensusMessage.CatchUpRequest(
                        address,
                        name,
                        voterSet.generation(),
                        voterSet.epoch(),
                        catchUp.getOrDefault(voter.name(), "")));
    }

    /** Hears a proposer or another voter. */
    public void hear(final ConsensusMessage message, final String address) {
        if (message instanceof ConsensusMessage.Prepare prepare) {
            prepare(prepare);
        } else if (message instanceof ConsensusMessage.Accept accept) {
            accept(accept);
        } else if (message instanceof ConsensusMessage.Chosen chosen) {
            chosen(chosen);
        } else if (message instanceof ConsensusMessage.HandoverRequest ask) {
            hold(ask);
        } else if (message instanceof ConsensusMessage.CatchUpRequest ask) {
            page(ask);
        } else if (message instanceof ConsensusMessage.CatchUpResponse back) {
            caught(back, address);
        }
    }

    private ConsensusMessage.Reply ready(final long generation, final long epoch, final String from) {
        if (voterSet != null && new VoterSet(generation, epoch, List.of()).newerThan(voterSet) || voterSet == null) {
            return ConsensusMessage.Reply.BLANK;
        }
        if (!voterSet.same(generation, epoch)) {
            post.send(from, new ConsensusMessage.Table(voterSet));
            return ConsensusMessage.Reply.OLD_TABLE;
        }
        return state() == State.VOTING && guard.ready() ? ConsensusMessage.Reply.YES : ConsensusMessage.Reply.BLANK;
    }

    private void prepare(final ConsensusMessage.Prepare ask) {
        ConsensusMessage.Reply reply = ready(ask.generation(), ask.epoch(), ask.from());
        if (reply == ConsensusMessage.Reply.YES && guard.gone(ask.key())) {
            reply = ConsensusMessage.Reply.GONE;
        }
        if (reply == ConsensusMessage.Reply.YES
                && !ask.peek()
                && !registers.containsKey(ask.key())
                && !guard.room(ask.key())) {
            reply = ConsensusMessage.Reply.DENIED;
        }
        final Register had = registers.getOrDefault(ask.key(), Register.EMPTY);
        if (reply != ConsensusMessage.Reply.YES || ask.peek()) {
            // A look must not show what a power loss could still take away.
            promise(ask, reply, before.getOrDefault(ask.key(), had));
            return;
        }
        if (ask.proposalNumber().compareTo(had.promised()) < 0) {
            promise(ask, ConsensusMessage.Reply.LOWER, had);
            return;
        }
        final Register now = new Register(ask.proposalNumber(), had.accepted(), had.value());
        store(ask.key(), now, ok -> promise(ask, ok ? ConsensusMessage.Reply.YES : ConsensusMessage.Reply.DISK, now));
    }

    private void promise(final ConsensusMessage.Prepare ask, final ConsensusMessage.Reply reply, final Register r) {
        post.send(
                ask.from(),
                new ConsensusMessage.Promise(
                        ask.attemptId(),
                        name,
                        diskId,
                        reply,
                        r.promised(),
                        r.accepted(),
                        reply == ConsensusMessage.Reply.YES ? r.value() : null));
    }

    private void accept(final ConsensusMessage.Accept ask) {
        ConsensusMessage.Reply reply = ready(ask.generation(), ask.epoch(), ask.from());
        if (reply == ConsensusMessage.Reply.YES && guard.gone(ask.key())) {
            reply = ConsensusMessage.Reply.GONE;
        } else if (reply == ConsensusMessage.Reply.YES && !guard.takes(ask.key(), ask.value())) {
            reply = ConsensusMessage.Reply.DENIED;
        }
        final Register had = registers.getOrDefault(ask.key(), Register.EMPTY);
        if (reply == ConsensusMessage.Reply.YES && ask.proposalNumber().compareTo(had.promised()) < 0) {
            reply = ConsensusMessage.Reply.LOWER;
        }
        if (reply != ConsensusMessage.Reply.YES) {
            accepted(ask, reply, had.promised());
            return;
        }
        // With the value goes a promise of the same proposer's next rank: its next change needs no first phase.
        store(
                ask.key(),
                new Register(ask.proposalNumber().next(), ask.proposalNumber(), ask.value()),
                ok -> accepted(
                        ask, ok ? ConsensusMessage.Reply.YES : ConsensusMessage.Reply.DISK, ask.proposalNumber()));
    }

    private void accepted(
            final ConsensusMessage.Accept ask, final ConsensusMessage.Reply reply, final ProposalNumber promised) {
        post.send(ask.from(), new ConsensusMessage.Accepted(ask.attemptId(), name, diskId, reply, promised));
    }

    private void chosen(final ConsensusMessage.Chosen chosen) {
        if (voterSet == null
                || !voterSet.same(chosen.generation(), chosen.epoch())
                || state() != State.VOTING
                || guard.gone(chosen.key())) {
            return;
        }
        final Register had = registers.getOrDefault(chosen.key(), Register.EMPTY);
        if (chosen.proposalNumber().compareTo(had.promised()) >= 0
                && chosen.proposalNumber().compareTo(had.accepted()) > 0) {
            store(
                    chosen.key(),
                    new Register(chosen.proposalNumber(), chosen.proposalNumber(), chosen.value()),
                    ok -> {});
        }
    }

    /** Stores first and tells after the sync; what isn't down is not in the answer. */
    private void store(final String key, final Register now, final Consumer<Boolean> done) {
        final Register had = registers.put(key, now);
        assert had == null || had.promised().compareTo(now.promised()) <= 0 : "a promise fell on " + key;
        assert had == null || had.accepted().compareTo(now.accepted()) <= 0 : "an accepted rank fell on " + key;
        before.putIfAbsent(key, had == null ? Register.EMPTY : had);
        onTheWay.merge(key, 1, Integer::sum);
        segmentedLog.put(key, MessageCodec.encodeRecord(now), ok -> {
            if (onTheWay.merge(key, -1, Integer::sum) == 0) {
                onTheWay.remove(key);
                before.remove(key);
            } else if (ok) {
                before.put(key, now);
            }
            if (ok) {
                for (final BiConsumer<String, Register> watcher : watchers) {
                    watcher.accept(key, now);
                }
            } else if (registers.get(key) == now && had != null) {
                registers.put(key, had);
            } else if (registers.get(key) == now) {
                registers.remove(key);
            }
            done.accept(ok);
        });
    }

    /** Names what it lacks on its disk of what another voter holds. */
    private void hold(final ConsensusMessage.HandoverRequest ask) {
        if (ready(ask.generation(), ask.epoch(), ask.from()) != ConsensusMessage.Reply.YES) {
            return;
        }
        final List<String> lacking = new ArrayList<>();
        for (final ConsensusMessage.Held held : ask.held()) {
            final Register had = registers.getOrDefault(held.key(), Register.EMPTY);
            final Register synced = before.getOrDefault(held.key(), had);
            if (synced.accepted().compareTo(held.accepted()) < 0 && !guard.gone(held.key())) {
                lacking.add(held.key());
            }
        }
        post.send(ask.from(), new ConsensusMessage.HandoverResponse(name, ask.generation(), ask.epoch(), lacking));
    }

    private void page(final ConsensusMessage.CatchUpRequest ask) {
        if (ready(ask.generation(), ask.epoch(), ask.from()) != ConsensusMessage.Reply.YES) {
            return;
        }
        final List<ConsensusMessage.Entry> entries = new ArrayList<>();
        int bytes = 0;
        boolean last = true;
        for (final Map.Entry<String, Register> e :
                registers.tailMap(ask.after(), false).entrySet()) {
            if (bytes > PAGE_BYTES) {
                last = false;
                break;
            }
            entries.add(new ConsensusMessage.Entry(e.getKey(), e.getValue()));
            bytes += e.getKey().length()
                    + 64
                    + (e.getValue().value() == null ? 0 : e.getValue().value().length);
        }
        post.send(
                ask.from(),
                new ConsensusMessage.CatchUpResponse(
                        name, ask.generation(), ask.epoch(), ask.after(), entries, last, floor));
    }

    private void caught(final ConsensusMessage.CatchUpResponse back, final String address) {
        if (state() != State.CATCHING_UP
                || !seated()
                || !voterSet.same(back.generation(), back.epoch())
                || caughtFrom.containsKey(back.name())
                || !catchUp.getOrDefault(back.name(), "").equals(back.after())) {
            return;
        }
        floorOfOthers = Math.max(floorOfOthers, back.floor());
        for (final ConsensusMessage.Entry entry : back.entries()) {
            merge(entry.key(), entry.register());
            catchUp.put(back.name(), entry.key());
        }
        if (!back.last()) {
            requestPage(address, voterSet.voter(back.name()));
            return;
        }
        caughtFrom.put(back.name(), true);
        finishIfCaught();
    }

    /** What the others let go is not among their registers, so it must be here in the form that they keep it in. */
    private void finishIfCaught() {
        if (caughtFrom.size() >= voterSet.meeting() && guard.holds(floorOfOthers)) {
            raiseFloor(floorOfOthers, () -> {});
            finishCatchUp(tableEpochDown);
        }
    }

    private void merge(final String key, final Register other) {
        final Register had = registers.getOrDefault(key, Register.EMPTY);
        final boolean later = other.accepted().compareTo(had.accepted()) > 0;
        final ProposalNumber promised =
                other.promised().compareTo(had.promised()) > 0 ? other.promised() : had.promised();
        final Register now =
                new Register(promised, later ? other.accepted() : had.accepted(), later ? other.value() : had.value());
        if (later || promised != had.promised()) {
            store(key, now, ok -> {});
        }
    }
}
