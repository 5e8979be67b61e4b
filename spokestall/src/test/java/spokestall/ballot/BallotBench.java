package spokestall.ballot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import spokestall.ring.DelayedSegments;
import spokestall.ring.Ring;
import spokestall.time.Clock;
import spokestall.wire.Note;

/** Six voters and some proposers in virtual time, with notes late, lost and doubled, and voters that lose power. */
public final class BallotBench {
    private record Event(long atMs, long number, Runnable what) {}

    /** Takes every value and never lets a key go. */
    private static final class Open implements Guard {
        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean room(final String key) {
            return true;
        }

        @Override
        public boolean gone(final String key) {
            return false;
        }

        @Override
        public boolean takes(final String key, final byte[] value) {
            return true;
        }
    }

    /** The bench's clock. */
    public final Clock clock = new Clock() {
        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public long wallMs() {
            return nowMs;
        }

        @Override
        public void after(final long waitMs, final Runnable event) {
            events.add(new Event(nowMs + Math.max(0, waitMs), made++, event));
        }
    };
    /** The bench's chance. */
    public final Random random;

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.number, b.number));
    private final Map<String, Consumer<Note>> ears = new HashMap<>();
    private final List<DelayedSegments> disks = new ArrayList<>();
    private final Voters table;
    private final double loss;
    private long nowMs;
    private long made;

    /** Example: {@code new BallotBench(seed, 0.1)} */
    public BallotBench(final long seed, final double loss) {
        this.random = new Random(seed);
        this.loss = loss;
        final List<Seat> seats = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            seats.add(new Seat("v" + i, "v" + i, "disk-" + i));
            disks.add(new DelayedSegments(8, 1 << 16, clock, () -> 1 + random.nextInt(3)));
        }
        table = new Voters(1, 1, seats);
        for (int i = 0; i < 6; i++) {
            final Voter voter = voter(i);
            clock.after(0, () -> voter.found(table, List.of()));
        }
        run(100);
    }

    private Voter voter(final int i) {
        final String name = "v" + i;
        final Voter voter = new Voter(name, new Ring(disks.get(i)), this::send, new Open(), "disk-" + i);
        ears.put(name, note -> voter.hear((BallotNote) note, name));
        return voter;
    }

    /** Sends a note late, twice or not at all. */
    public void send(final String to, final Note note) {
        final int times = random.nextDouble() < loss ? random.nextInt(2) * 2 : 1;
        for (int i = 0; i < times; i++) {
            clock.after(1 + random.nextInt(40), () -> ears.get(to).accept(note));
        }
    }

    /** A proposer of its own name. */
    public Proposer proposer(final String name) {
        final Proposer made = new Proposer(
                name + "#1", name, this::send, clock, random, new Proposer.Pace(150, 30, 1000), (seat, key) -> {});
        made.adopt(table);
        ears.put(name, note -> {
            if (note instanceof BallotNote b) {
                made.hear(b);
            }
        });
        return made;
    }

    /** The power of one voter goes and comes back at once: what was not synced is lost. */
    public void bounce(final int i) {
        disks.get(i).losePower();
        voter(i);
    }

    /** Goes on until then. */
    public void run(final long untilMs) {
        while (!events.isEmpty() && events.peek().atMs <= untilMs) {
            final Event e = events.poll();
            nowMs = e.atMs;
            e.what.run();
        }
        nowMs = untilMs;
    }
}
