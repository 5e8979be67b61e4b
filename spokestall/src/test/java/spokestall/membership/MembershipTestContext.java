package spokestall.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.Proposer;
import spokestall.consensus.Register;
import spokestall.consensus.RegisterGuard;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.Message;
import spokestall.message.MessageCodec;
import spokestall.storage.DelayedSegmentStore;
import spokestall.storage.SegmentedLog;
import spokestall.time.Clock;
import spokestall.time.EventClock;

/** A fleet of unknown size in virtual time: cores and edges that come late, restart, and lose disks, with notes late, lost
 * and doubled. After every event it is looked at whether two tables contradict each other. */
final class MembershipTestContext {
    private DelayedSegmentStore disk() {
        return new DelayedSegmentStore(8, 1 << 15, clock, () -> 1 + random.nextInt(8));
    }

    /** One machine, over all its lives. */
    final class Machine {
        final String name;
        final boolean core;
        boolean up;
        boolean bootstrap;
        int lives;
        /** Gone for good, and its disk with it. */
        boolean gone;

        Acceptor voter;
        MembershipCoordinator formation;
        Proposer proposer;
        private DelayedSegmentStore disk = disk();
        private BootstrapAcceptor council;
        private GracefulHandover handover;
        private BootstrapProposer founder;
        private long startedMs;

        Machine(final String name, final boolean core, final boolean bootstrap) {
            this.name = name;
            this.core = core;
            this.bootstrap = bootstrap;
        }

        /** Only the first life is told that the fleet has never run, unless the bench plants just that. */
        void start() {
            lives++;
            up = true;
            startedMs = clock.nowMs();
            final int mine = lives;
            final boolean told = bootstrap && (lives == 1 || alwaysFirst);
            final Clock own = new Clock() {
                @Override
                public long nowMs() {
                    return clock.nowMs();
                }

                @Override
                public long wallMs() {
                    return clock.wallMs();
                }

                @Override
                public void after(final long waitMs, final Runnable event) {
                    clock.after(waitMs, () -> {
                        if (up && lives == mine) {
                            event.run();
                        }
                    });
                }
            };
            proposer = new Proposer(
                    name + "#" + lives,
                    name,
                    this::send,
                    own,
                    random,
                    new Proposer.Pace(150, 30, 1000),
                    (seat, key) -> {});
            voter = core ? new Acceptor(name, new SegmentedLog(disk), this::send, new Open(this), freshId()) : null;
            final boolean first = told && (!core || voter.openedBlank());
            council = new BootstrapAcceptor(
                    name,
                    seeds,
                    first,
                    this::send,
                    () -> proposer.voters(),
                    core ? then -> voter.keepOwn("~council", new byte[0], ok -> then.run()) : Runnable::run);
            founder = core && first
                    ? new BootstrapProposer(
                            name,
                            name,
                            name + "#" + lives,
                            seeds,
                            this::send,
                            own,
                            new BootstrapProposer.Pace(2000, 1000, 880),
                            seats -> founding(0, seats))
                    : null;
            formation = core
                    ? new MembershipCoordinator(
                            name,
                            name,
                            name + "#" + lives,
                            voter,
                            proposer,
                            this::send,
                            own,
                            new MembershipCoordinator.Pace(0, 2400, 600, 3000, 880, 1000, false, 2000, 32_000),
                            (base, left, seats) -> {
                                final InitialState founding = founding(base, seats);
                                mergedFrom.put(founding.table().generation(), withState(base, left));
                                return founding;
                            },
                            this::remains,
                            () -> others(true),
                            () -> others(false),
                            founder,
                            this::freshId,
                            () -> true,
                            MembershipTestContext.this::mostLost)
                    : null;
            handover = core
                    ? new GracefulHandover(name, name, voter, this::send, own, new GracefulHandover.Pace(220, 900))
                    : null;
            if (core && voter.voters() != null) {
                proposer.adopt(voter.voters());
            }
            if (core) {
                beat(own);
            } else {
                feed(own);
            }
        }

        private SurvivingState remains() {
            return new SurvivingState(name, generation(), 0, null, 0, voter.keepsState(), registers());
        }

        private long generation() {
            return voter.voters() == null ? 0 : voter.voters().generation();
        }

        private List<ConsensusMessage.Entry> registers() {
            final List<ConsensusMessage.Entry> all = new ArrayList<>();
            voter.registers().forEach((key, r) -> all.add(new ConsensusMessage.Entry(key, r)));
            return all;
        }

        private void beat(final Clock own) {
            own.after(250, () -> beat(own));
            formation.tick();
        }

        /** An edge hears of tables by the feed that it asks all cores for. */
        private void feed(final Clock own) {
            own.after(400, () -> feed(own));
            for (final Machine m : machines.values()) {
                if (!deafEdges && m.core && m.up && m.proposer.voters() != null && random.nextDouble() >= loss) {
                    proposer.adopt(m.proposer.voters());
                }
            }
        }

        private String freshId() {
            return name + "/" + random.nextInt(1 << 30);
        }

        /** Names spread in a second or two, as by the views. */
        private List<String> others(final boolean edgesToo) {
            final List<String> known = new ArrayList<>();
            machines.forEach((other, m) -> {
                if (m != this
                        && m.lives > 0
                        && (m.core || edgesToo)
                        && clock.nowMs() - Math.max(startedMs, m.startedMs) > (name + other).hashCode() % 1500) {
                    known.add(other);
                }
            });
            return known;
        }

        void stop() {
            up = false;
            disk.losePower();
        }

        void wipe() {
            stop();
            disk = disk();
        }

        /** Leaves in order, and never comes back. */
        void leaveForGood() {
            handover.begin(this::goForGood);
        }

        /** The machine never comes back. */
        void goForGood() {
            stop();
            gone = true;
        }

        /** Each write takes so much longer. */
        void slowDisk(final long byMs) {
            disk.slowBy(byMs);
        }

        /** What its disk has, synced. */
        Map<String, byte[]> synced() {
            return new SegmentedLog(disk).table();
        }

        /** Three regions, by the number in its name. */
        int region() {
            return Integer.parseInt(name.replaceAll("[^0-9]", "")) % 3;
        }

        void send(final String to, final Message note) {
            MembershipTestContext.this.send(name, to, emptied(note));
        }

        void hear(final Message note) {
            if (note instanceof BootstrapMessage c) {
                council.hear(c);
                if (founder != null) {
                    founder.hear(c);
                }
            } else if (note instanceof ConsensusMessage.Table t) {
                if (core) {
                    formation.adopt(t.voters());
                } else {
                    proposer.adopt(t.voters());
                }
            } else if (note instanceof ConsensusMessage.HoldBack back) {
                handover.hear(back);
            } else if (note instanceof ConsensusMessage b) {
                proposer.hear(b);
                if (core) {
                    voter.hear(b, name);
                }
            } else if (note instanceof MembershipMessage.RemainsAsk ask && core) {
                send(ask.from(), new MembershipMessage.RemainsBack(remains()));
            } else if (note instanceof MembershipMessage f && core) {
                formation.hear(f);
            } else if (note instanceof MembershipMessage.Standing s) {
                if (s.lacks(proposer.voters())) {
                    send(s.address(), new ConsensusMessage.Table(proposer.voters()));
                } else if (s.table() != null) {
                    proposer.adopt(s.table());
                }
            }
        }
    }

    /** Lets go of no key but those of tables that were agreed. */
    private record Open(Machine of) implements RegisterGuard {
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
            final VoterSet v = of.voter.voters();
            return key.startsWith("voters/") && !key.equals("voters/" + v.generation() + "/" + (v.epoch() + 1));
        }

        @Override
        public boolean takes(final String key, final byte[] value) {
            return true;
        }
    }

    final EventClock clock = new EventClock(0);
    final Random random;
    final Map<String, Machine> machines = new TreeMap<>();
    final List<String> seeds = new ArrayList<>();
    /** Foundings seen in any table, by the generation they ended. */
    final Map<Long, Set<Long>> founded = new TreeMap<>();

    double loss;
    boolean alwaysFirst;
    /** Whoever asks to catch up is told there is nothing (a planted fault). */
    boolean emptyPages;
    /** A whole region may be lost at once, else one machine. */
    boolean regions;
    /** Pairs of machines, as "from>to", between which nothing passes. */
    final Set<String> cut = new HashSet<>();
    /** Edges hear no feed. */
    boolean deafEdges;

    /** Whose state each founding that was proposed was made from, by the generation that it would begin. */
    final Map<Long, Set<String>> mergedFrom = new HashMap<>();

    long notes;
    long tables;
    private final Map<Long, Long> baseOf = new HashMap<>();
    private final Map<String, List<Voter>> seatsOf = new HashMap<>();
    private long generations = 1;
    private VoterSet newest;

    MembershipTestContext(final long seed) {
        random = new Random(seed);
    }

    Machine machine(final String name, final boolean core, final boolean bootstrap) {
        final Machine m = new Machine(name, core, bootstrap);
        machines.put(name, m);
        return m;
    }

    /** Every founding has a generation of its own, so that two are told apart. */
    private InitialState founding(final long base, final List<Voter> seats) {
        final long generation = Math.max(base, generations) + 1;
        generations = generation;
        baseOf.put(generation, base);
        return new InitialState(new VoterSet(generation, 1, seats), List.of());
    }

    private static Set<String> withState(final long base, final List<SurvivingState> left) {
        final Set<String> names = new HashSet<>();
        left.stream().filter(r -> r.hasState() && r.generation() == base).forEach(r -> names.add(r.name()));
        return names;
    }

    private Message emptied(final Message note) {
        return emptyPages && note instanceof ConsensusMessage.CatchBack b
                ? new ConsensusMessage.CatchBack(
                        b.name(), b.generation(), b.epoch(), b.after(), List.of(), true, b.floor())
                : note;
    }

    int mostLost(final List<Voter> seats) {
        if (!regions) {
            return 1;
        }
        final int[] inRegion = new int[3];
        seats.forEach(seat -> inRegion[machines.get(seat.name()).region()]++);
        return Math.max(inRegion[0], Math.max(inRegion[1], inRegion[2]));
    }

    /** The newest table that any machine took. */
    VoterSet newest() {
        return newest;
    }

    private void send(final String from, final String to, final Message note) {
        if (cut.contains(from + ">" + to)) {
            return;
        }
        notes++;
        tables += note instanceof MembershipMessage.Standing s && s.table() != null
                        || note instanceof ConsensusMessage.Table
                ? 1
                : 0;
        final int times = random.nextDouble() < loss ? random.nextInt(2) * 2 : 1;
        final Machine target = machines.get(to);
        for (int i = 0; target != null && i < times; i++) {
            final int life = target.lives;
            clock.after(1 + random.nextInt(60), () -> {
                if (target.up && target.lives == life) {
                    target.hear(note);
                }
            });
        }
    }

    private void look(final Machine m) {
        final VoterSet table = m.up ? m.proposer.voters() : null;
        if (table != null) {
            newest = table.newerThan(newest) ? table : newest;
            final List<Voter> had = seatsOf.putIfAbsent(table.generation() + "/" + table.epoch(), table.seats());
            assertThat(had == null || had.equals(table.seats()))
                    .as("one table for %s, at %s: %s, %s", m.name, clock.nowMs(), had, table)
                    .isTrue();
            assertThat(table.seats().stream().map(Voter::name).distinct().count())
                    .isEqualTo(table.seats().size());
            founded.computeIfAbsent(baseOf.get(table.generation()), b -> new HashSet<>())
                    .add(table.generation());
        }
    }

    /** What a seat of the newest table has on its disk, synced; empty if its disk is gone or has not caught up. */
    private Optional<Map<String, byte[]>> state(final Voter seat) {
        final Machine m = machines.get(seat.name());
        final Map<String, byte[]> table = m.gone ? Map.of() : m.synced();
        final boolean same = seat.diskId().equals(text(table.get("~disk")));
        final String mark = seat.diskId() + "/" + newest.generation();
        return same && mark.equals(text(table.get("~caught"))) ? Optional.of(table) : Optional.empty();
    }

    private static String text(final byte[] value) {
        return value == null ? "" : new String(value, StandardCharsets.UTF_8);
    }

    /** How many disks have what, of those with a seat in the newest table. */
    record Copies(int seats, int withState, int fewest, String fewestKey) {
        /** The copies that there have to be: a majority, less the seats whose disks are lost or still catch up. */
        int owed() {
            return seats / 2 + 1 - (seats - withState);
        }
    }

    /** Counts the copies of written-once values on disks, synced. */
    Copies copies(final Map<String, String> confirmed) {
        final List<Map<String, byte[]>> states = newest.seats().stream()
                .map(this::state)
                .flatMap(Optional::stream)
                .toList();
        int fewest = Integer.MAX_VALUE;
        String fewestKey = "";
        for (final Map.Entry<String, String> e : confirmed.entrySet()) {
            int have = 0;
            for (final Map<String, byte[]> state : states) {
                final byte[] register = state.get(e.getKey());
                have += register != null
                                && e.getValue()
                                        .equals(text(MessageCodec.record(register, Register.class)
                                                .value()))
                        ? 1
                        : 0;
            }
            if (have < fewest) {
                fewest = have;
                fewestKey = e.getKey();
            }
        }
        return new Copies(newest.seats().size(), states.size(), fewest, fewestKey);
    }

    List<Machine> cores() {
        return machines.values().stream().filter(m -> m.core && m.up).toList();
    }

    /** Whether every core that runs votes, all by one table that has a seat for each. */
    boolean whole() {
        final List<Machine> cores = cores();
        final VoterSet table = cores.get(0).proposer.voters();
        return table != null
                && cores.stream()
                        .allMatch(m -> m.voter.state() == Acceptor.State.VOTING
                                && m.proposer.voters().same(table.generation(), table.epoch())
                                && table.seat(m.name) != null);
    }

    String shown() {
        final StringBuilder out = new StringBuilder("at " + clock.nowMs() + " seeds " + seeds);
        machines.forEach((name, m) -> out.append("\n")
                .append(name)
                .append(m.up ? " up" : " down")
                .append(" lives ")
                .append(m.lives)
                .append(m.bootstrap ? " first " : " ")
                .append(m.core && m.voter != null ? m.voter.state() : "")
                .append(m.proposer == null ? "" : " " + m.proposer.voters()));
        return out.toString();
    }

    void run(final long untilMs) {
        clock.runUntil(untilMs, () -> machines.values().forEach(this::look));
    }

    long nowMs() {
        return clock.nowMs();
    }
}
