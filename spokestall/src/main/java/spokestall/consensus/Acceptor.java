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
    static final String VOTERS = "~voters";
    static final String CAUGHT = "~caught";
    static final String DISK = "~disk";
    static final String FLOOR = "~floor";
    private static final int PAGE_BYTES = 256 << 10;
    private final String name;
    private final SegmentedLog ring;
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
    private VoterSet voters;
    private State state = State.BLANK;
    private long tableEpochDown;
    private long floor;
    private long floorOfOthers;
    private boolean diskTakes = true;

    /** Example: {@code new Acceptor("d1-core", ring, post, guard, freshId)}; freshId is used only on a blank disk. */
    public Acceptor(
            final String name,
            final SegmentedLog ring,
            final MessageSender post,
            final RegisterGuard guard,
            final String freshId) {
        this.name = name;
        this.ring = ring;
        this.post = post;
        this.guard = guard;
        final byte[] had = ring.table().get(DISK);
        openedBlank = had == null;
        diskId = had == null ? freshId : new String(had, StandardCharsets.UTF_8);
        if (had == null) {
            ring.put(DISK, diskId.getBytes(StandardCharsets.UTF_8), ok -> {});
        }
        final byte[] kept = ring.table().get(FLOOR);
        floor = kept == null ? 0 : ByteBuffer.wrap(kept).getLong();
        final byte[] table = ring.table().get(VOTERS);
        voters = table == null ? null : MessageCodec.record(table, VoterSet.class);
        ring.table().forEach((key, value) -> {
            if (!key.startsWith("~")) {
                registers.put(key, MessageCodec.record(value, Register.class));
            }
        });
        final byte[] caught = ring.table().get(CAUGHT);
        if (caught != null
                && voters != null
                && new String(caught, StandardCharsets.UTF_8).equals(caughtMark())
                && seated()) {
            change(State.VOTING, "opened");
        } else if (seated()) {
            change(State.CATCHING_UP, "opened");
        }
    }

    /** Keeps a record of this node's own beside the registers. Example: {@code voter.keepOwn("~form", bytes, ok -> ...);} */
    public void keepOwn(final String key, final byte[] value, final Consumer<Boolean> done) {
        assert key.startsWith("~") : key;
        ring.put(key, value, done);
    }

    /** A record of this node's own, or null. Example: {@code voter.own("~form")} */
    public byte[] own(final String key) {
        return ring.table().get(key);
    }

    /** Whether this voter has its state, be it voting at this moment or not. Example: {@code voter.hasState()} */
    public boolean hasState() {
        return state != State.RESIGNED && keepsState();
    }

    /** Whether it has its seat and reads what it lacks from the others. Example: {@code voter.catchesUp()} */
    public boolean catchesUp() {
        return state() == State.CATCHING_UP && seated();
    }

    /** Whether its state is still on its disk, also after it resigned: a later round of a founding needs it as much as the
     * first. Example: {@code new SurvivingState(..., voter.keepsState(), registers)} */
    public boolean keepsState() {
        final byte[] caught = ring.table().get(CAUGHT);
        return ring.state() != SegmentedLog.State.BROKEN
                && seated()
                && caught != null
                && new String(caught, StandardCharsets.UTF_8).equals(caughtMark());
    }

    /** Whether this disk's identity has voted, or may have: it must never get a seat anew, since what it missed without
     * one it would not know of. Example: {@code if (!seated && voter.hasVoted()) voter.restart(freshId);} */
    public boolean hasVoted() {
        final byte[] caught = ring.table().get(CAUGHT);
        return caught != null && new String(caught, StandardCharsets.UTF_8).startsWith(diskId + "/");
    }

    /** Whether the disk was blank when this life began. Example: {@code if (voter.openedBlank()) mayFound();} */
    public boolean openedBlank() {
        return openedBlank;
    }

    /** Whether this disk still takes writes. Example: {@code voter.canWrite()} */
    public boolean canWrite() {
        return ring.canWrite();
    }

    /** Called for each register change that is down. Example: {@code voter.watch((key, register) -> ...);} */
    public void watch(final BiConsumer<String, Register> watcher) {
        watchers.add(watcher);
    }

    /** Example: {@code if (voter.state() != Acceptor.State.VOTING) ...} */
    public State state() {
        return ring.canWrite() ? state : State.STOPPED;
    }

    /** The table this voter knows, or null. Example: {@code voter.voters().epoch()} */
    public VoterSet voters() {
        return voters;
    }

    /** This disk's identity. Example: {@code new Voter(name, address, voter.diskId())} */
    public String diskId() {
        return diskId;
    }

    /** The number of the newest record that is synced. Example: {@code if (voter.written() < told) startOver();} */
    public long written() {
        return ring.syncedSeq();
    }

    /** All registers by key. Example: {@code voter.registers().tailMap("policy/")} */
    public TreeMap<String, Register> registers() {
        return registers;
    }

    private String caughtMark() {
        return diskId + "/" + voters.generation();
    }

    private boolean seated() {
        final Voter seat = voters == null ? null : voters.seat(name);
        return seat != null && seat.diskId().equals(diskId);
    }

    private void change(final State to, final String why) {
        if (state != to) {
            LOG.atInfo().log(
                    "event=voter node=%s from=%s to=%s why=%s epoch=%s",
                    name, state, to, why, voters == null ? "none" : voters.generation() + "/" + voters.epoch());
            state = to;
        }
    }

    /** Takes a newer table. Votes of older tables are denied from here on. Example: {@code voter.adopt(table);} */
    public void adopt(final VoterSet table) {
        if (!table.newerThan(voters) || !ring.canWrite()) {
            return;
        }
        final boolean newGeneration = voters == null || voters.generation() != table.generation();
        final State was = state;
        voters = table;
        final long mark = ++tableEpochDown;
        // Until the table is down no vote is given, so a power loss can't bring the old table back under a new vote.
        final boolean stays = was == State.VOTING && !newGeneration && seated();
        // Whoever resigned from a generation has done so for all its epochs, also while a table is on its way to the
        // disk.
        if (was != State.RESIGNED || newGeneration) {
            change(State.CATCHING_UP, "table");
        }
        ring.put(VOTERS, MessageCodec.bytes(table), ok -> {
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
        ring.put(CAUGHT, null, ok -> {});
    }

    /** Lets a register go for good. Example: {@code voter.drop("usage/12");} */
    public void drop(final String key) {
        if (registers.remove(key) != null) {
            ring.put(key, null, ok -> {});
        }
    }

    /** The version up to which the registers of versions were let go; none of them is ever made anew here. */
    public long floor() {
        return floor;
    }

    /** Raises the floor; registers may be let go once it is down, so that none is missing here without it.
     * Example: {@code voter.raiseFloor(version - kept, this::letGo);} */
    public void raiseFloor(final long to, final Runnable down) {
        if (to <= floor) {
            return;
        }
        ring.put(FLOOR, ByteBuffer.allocate(Long.BYTES).putLong(to).array(), ok -> {
            if (ok && to > floor) {
                floor = to;
                down.run();
            }
        });
    }

    /** Stops voting for the sake of a new generation's ballot. Example: {@code voter.resign(voters.generation());} */
    public void resign(final long generation) {
        if (voters == null || voters.generation() <= generation) {
            change(State.RESIGNED, "new-generation");
        }
    }

    /** Starts over as a blank voter with a fresh identity, after a resignation that came to nothing or the
     * loss of its seat.
     * Example: {@code voter.restart(freshId);} */
    public void restart(final String freshId) {
        diskId = freshId;
        ring.put(DISK, diskId.getBytes(StandardCharsets.UTF_8), ok -> {});
        dropAll();
        change(State.BLANK, "restarted");
    }

    /** Takes a new generation's first registers. Example: {@code voter.found(table, entries);} */
    public void found(final VoterSet table, final List<ConsensusMessage.Entry> entries) {
        if (voters != null && !table.newerThan(voters)) {
            return;
        }
        dropAll();
        voters = table;
        final long mark = ++tableEpochDown;
        change(State.CATCHING_UP, "founded");
        ring.put(VOTERS, MessageCodec.bytes(table), ok -> {});
        for (final ConsensusMessage.Entry entry : entries) {
            store(entry.key(), entry.register(), ok -> {});
        }
        finishCatchUp(mark);
    }

    /** A seat of the first table that missed the founding begins with it, late, as long as it has never voted.
     * Example: {@code voter.foundLate(table, entries);} */
    public void foundLate(final VoterSet table, final List<ConsensusMessage.Entry> entries) {
        final Voter first = table.seat(name);
        if (state != State.CATCHING_UP
                || voters == null
                || voters.generation() != table.generation()
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
        ring.put(CAUGHT, caughtMark().getBytes(StandardCharsets.UTF_8), ok -> {
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

    /** Asks again for what is missing; called on every beat. Example: {@code voter.tick(address);} */
    public void tick(final String address) {
        ring.retry();
        tellDisk();
        if (state() != State.CATCHING_UP || !seated()) {
            return;
        }
        for (final Voter seat : voters.seats()) {
            if (!seat.name().equals(name) && !caughtFrom.containsKey(seat.name())) {
                askPage(address, seat);
            }
        }
        finishIfCaught();
    }

    private void tellDisk() {
        if (diskTakes != ring.canWrite()) {
            diskTakes = ring.canWrite();
            LOG.atWarning().log("event=disk node=%s takesWrites=%s ring=%s", name, diskTakes, ring.state());
        }
    }

    private void askPage(final String address, final Voter seat) {
        post.send(
                seat.address(),
                new ConsensusMessage.CatchAsk(
                        address, name, voters.generation(), voters.epoch(), catchUp.getOrDefault(seat.name(), "")));
    }

    /** Hears a proposer or another voter. Example: {@code voter.hear(note, address);} */
    public void hear(final ConsensusMessage note, final String address) {
        if (note instanceof ConsensusMessage.Prepare prepare) {
            prepare(prepare);
        } else if (note instanceof ConsensusMessage.Accept accept) {
            accept(accept);
        } else if (note instanceof ConsensusMessage.Chosen chosen) {
            chosen(chosen);
        } else if (note instanceof ConsensusMessage.HoldAsk ask) {
            hold(ask);
        } else if (note instanceof ConsensusMessage.CatchAsk ask) {
            page(ask);
        } else if (note instanceof ConsensusMessage.CatchBack back) {
            caught(back, address);
        }
    }

    private ConsensusMessage.Reply ready(final long generation, final long epoch, final String from) {
        if (voters != null && new VoterSet(generation, epoch, List.of()).newerThan(voters) || voters == null) {
            return ConsensusMessage.Reply.BLANK;
        }
        if (!voters.same(generation, epoch)) {
            post.send(from, new ConsensusMessage.Table(voters));
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
        if (ask.ballot().compareTo(had.promised()) < 0) {
            promise(ask, ConsensusMessage.Reply.LOWER, had);
            return;
        }
        final Register now = new Register(ask.ballot(), had.accepted(), had.value());
        store(ask.key(), now, ok -> promise(ask, ok ? ConsensusMessage.Reply.YES : ConsensusMessage.Reply.DISK, now));
    }

    private void promise(final ConsensusMessage.Prepare ask, final ConsensusMessage.Reply reply, final Register r) {
        post.send(
                ask.from(),
                new ConsensusMessage.Promise(
                        ask.goId(),
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
        if (reply == ConsensusMessage.Reply.YES && ask.ballot().compareTo(had.promised()) < 0) {
            reply = ConsensusMessage.Reply.LOWER;
        }
        if (reply != ConsensusMessage.Reply.YES) {
            accepted(ask, reply, had.promised());
            return;
        }
        // With the value goes a promise of the same proposer's next rank: its next change needs no first phase.
        store(
                ask.key(),
                new Register(ask.ballot().next(), ask.ballot(), ask.value()),
                ok -> accepted(ask, ok ? ConsensusMessage.Reply.YES : ConsensusMessage.Reply.DISK, ask.ballot()));
    }

    private void accepted(
            final ConsensusMessage.Accept ask, final ConsensusMessage.Reply reply, final ProposalNumber promised) {
        post.send(ask.from(), new ConsensusMessage.Accepted(ask.goId(), name, diskId, reply, promised));
    }

    private void chosen(final ConsensusMessage.Chosen chosen) {
        if (voters == null
                || !voters.same(chosen.generation(), chosen.epoch())
                || state() != State.VOTING
                || guard.gone(chosen.key())) {
            return;
        }
        final Register had = registers.getOrDefault(chosen.key(), Register.EMPTY);
        if (chosen.ballot().compareTo(had.promised()) >= 0 && chosen.ballot().compareTo(had.accepted()) > 0) {
            store(chosen.key(), new Register(chosen.ballot(), chosen.ballot(), chosen.value()), ok -> {});
        }
    }

    /** Stores first and tells after the sync; what isn't down is not in the answer. */
    private void store(final String key, final Register now, final Consumer<Boolean> done) {
        final Register had = registers.put(key, now);
        assert had == null || had.promised().compareTo(now.promised()) <= 0 : "a promise fell on " + key;
        assert had == null || had.accepted().compareTo(now.accepted()) <= 0 : "an accepted rank fell on " + key;
        before.putIfAbsent(key, had == null ? Register.EMPTY : had);
        onTheWay.merge(key, 1, Integer::sum);
        ring.put(key, MessageCodec.bytes(now), ok -> {
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
    private void hold(final ConsensusMessage.HoldAsk ask) {
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
        post.send(ask.from(), new ConsensusMessage.HoldBack(name, ask.generation(), ask.epoch(), lacking));
    }

    private void page(final ConsensusMessage.CatchAsk ask) {
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
                new ConsensusMessage.CatchBack(name, ask.generation(), ask.epoch(), ask.after(), entries, last, floor));
    }

    private void caught(final ConsensusMessage.CatchBack back, final String address) {
        if (state() != State.CATCHING_UP
                || !seated()
                || !voters.same(back.generation(), back.epoch())
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
            askPage(address, voters.seat(back.name()));
            return;
        }
        caughtFrom.put(back.name(), true);
        finishIfCaught();
    }

    /** What the others let go is not among their registers, so it must be here in the form that they keep it in. */
    private void finishIfCaught() {
        if (caughtFrom.size() >= voters.meeting() && guard.holds(floorOfOthers)) {
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
