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

/** A fleet of unknown size in virtual time: cores and edges that come late, restart, and lose disks, with messages late, lost
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
        int incarnations;
        /** Gone for good, and its disk with it. */
        boolean gone;

        Acceptor acceptor;
        MembershipCoordinator membershipCoordinator;
        Proposer proposer;
        private DelayedSegmentStore disk = disk();
        private BootstrapAcceptor bootstrapAcceptor;
        private GracefulHandover handover;
        private BootstrapProposer bootstrapProposer;
        private long startedMs;

        Machine(final String name, final boolean core, final boolean bootstrap) {
            this.name = name;
            this.core = core;
            this.bootstrap = bootstrap;
        }

        /** Only the first life is told that the fleet has never run, unless the bench plants just that. */
        void start() {
            incarnations++;
            up = true;
            startedMs = clock.nowMs();
            final int mine = incarnations;
            final boolean told = bootstrap && (incarnations == 1 || alwaysFirst);
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
                        if (up && incarnations == mine) {
                            event.run();
                        }
                    });
                }
            };
            proposer = new Proposer(
                    name + "#" + incarnations,
                    name,
                    this::send,
                    own,
                    random,
                    new Proposer.Timing(150, 30, 1000),
                    (voter, key) -> {});
            acceptor = core ? new Acceptor(name, new SegmentedLog(disk), this::send, new Open(this), freshId()) : null;
            final boolean first = told && (!core || acceptor.openedBlank());
            bootstrapAcceptor = new BootstrapAcceptor(
                    name,
                    seeds,
                    first,
                    this::send,
                    () -> proposer.voterSet(),
                    core ? then -> acceptor.putLocalRecord("~council", new byte[0], ok -> then.run()) : Runnable::run);
            bootstrapProposer = core && first
                    ? new BootstrapProposer(
                            name,
                            name,
                            name + "#" + incarnations,
                            seeds,
                            this::send,
                            own,
                            new BootstrapProposer.Timing(2000, 1000, 880),
                            voters -> founding(0, voters))
                    : null;
            membershipCoordinator = core
                    ? new MembershipCoordinator(
                            name,
                            name,
                            name + "#" + incarnations,
                            acceptor,
                            proposer,
                            this::send,
                            own,
                            new MembershipCoordinator.Timing(0, 2400, 600, 3000, 880, 1000, false, 2000, 32_000),
                            (base, left, voters) -> {
                                final InitialState founding = founding(base, voters);
                                mergedFrom.put(founding.table().generation(), withState(base, left));
                                return founding;
                            },
                            this::survivingState,
                            () -> others(true),
                            () -> others(false),
                            bootstrapProposer,
                            this::freshId,
                            () -> true,
                            MembershipTestContext.this::mostLost)
                    : null;
            handover = core
                    ? new GracefulHandover(name, name, acceptor, this::send, own, new GracefulHandover.Timing(220, 900))
                    : null;
            if (core && acceptor.voterSet() != null) {
                proposer.updateVoterSet(acceptor.voterSet());
            }
            if (core) {
                tick(own);
            } else {
                feed(own);
            }
        }

        private SurvivingState survivingState() {
            return new SurvivingState(name, generation(), 0, null, 0, acceptor.hasStateOnDisk(), registers());
        }

        private long generation() {
            return acceptor.voterSet() == null ? 0 : acceptor.voterSet().generation();
        }

        private List<ConsensusMessage.Entry> registers() {
            final List<ConsensusMessage.Entry> all = new ArrayList<>();
            acceptor.registers().forEach((key, r) -> all.add(new ConsensusMessage.Entry(key, r)));
            return all;
        }

        private void tick(final Clock own) {
            own.after(250, () -> tick(own));
            membershipCoordinator.tick();
        }

        /** An edge hears of tables by the feed that it asks all cores for. */
        private void feed(final Clock own) {
            own.after(400, () -> feed(own));
            for (final Machine m : machines.values()) {
                if (!deafEdges && m.core && m.up && m.proposer.voterSet() != null && random.nextDouble() >= loss) {
                    proposer.updateVoterSet(m.proposer.voterSet());
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
                        && m.incarnations > 0
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

        void send(final String to, final Message message) {
            MembershipTestContext.this.send(name, to, emptied(message));
        }

        void hear(final Message message) {
            if (message instanceof BootstrapMessage c) {
                bootstrapAcceptor.hear(c);
                if (bootstrapProposer != null) {
                    bootstrapProposer.hear(c);
                }
            } else if (message instanceof ConsensusMessage.VoterSetUpdate t) {
                if (core) {
                    membershipCoordinator.adopt(t.voterSet());
                } else {
                    proposer.updateVoterSet(t.voterSet());
                }
            } else if (message instanceof ConsensusMessage.HandoverResponse back) {
                handover.hear(back);
            } else if (message instanceof ConsensusMessage b) {
                proposer.onMessage(b);
                if (core) {
                    acceptor.onMessage(b, name);
                }
            } else if (message instanceof MembershipMessage.SurvivingStateRequest ask && core) {
                send(ask.from(), new MembershipMessage.SurvivingStateResponse(survivingState()));
            } else if (message instanceof MembershipMessage f && core) {
                membershipCoordinator.hear(f);
            } else if (message instanceof MembershipMessage.VoterStatus s) {
                if (s.lacks(proposer.voterSet())) {
                    send(s.address(), new ConsensusMessage.VoterSetUpdate(proposer.voterSet()));
                } else if (s.table() != null) {
                    proposer.updateVoterSet(s.table());
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
        public boolean hasCapacityFor(final String key) {
            return true;
        }

        @Override
        public boolean isPruned(final String key) {
            final VoterSet v = of.acceptor.voterSet();
            return key.startsWith("voters/") && !key.equals("voters/" + v.generation() + "/" + (v.epoch() + 1));
        }

        @Override
        public boolean accepts(final String key, final byte[] value) {
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

    long messages;
    long tables;
    private final Map<Long, Long> baseOf = new HashMap<>();
    private final Map<String, List<Voter>> votersOf = new HashMap<>();
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
    private InitialState founding(final long base, final List<Voter> voters) {
        final long generation = Math.max(base, generations) + 1;
        generations = generation;
        baseOf.put(generation, base);
        return new InitialState(new VoterSet(generation, 1, voters), List.of());
    }

    private static Set<String> withState(final long base, final List<SurvivingState> left) {
        final Set<String> names = new HashSet<>();
        left.stream().filter(r -> r.hasState() && r.generation() == base).forEach(r -> names.add(r.name()));
        return names;
    }

    private Message emptied(final Message message) {
        return emptyPages && message instanceof ConsensusMessage.CatchUpResponse b
                ? new ConsensusMessage.CatchUpResponse(
                        b.name(), b.generation(), b.epoch(), b.after(), List.of(), true, b.versionFloor())
                : message;
    }

    int mostLost(final List<Voter> voters) {
        if (!regions) {
            return 1;
        }
        final int[] inRegion = new int[3];
        voters.forEach(voter -> inRegion[machines.get(voter.name()).region()]++);
        return Math.max(inRegion[0], Math.max(inRegion[1], inRegion[2]));
    }

    /** The newest table that any machine took. */
    VoterSet newest() {
        return newest;
    }

    private void send(final String from, final String to, final Message message) {
        if (cut.contains(from + ">" + to)) {
            return;
        }
        messages++;
        tables += message instanceof MembershipMessage.VoterStatus s && s.table() != null
                        || message instanceof ConsensusMessage.VoterSetUpdate
                ? 1
                : 0;
        final int times = random.nextDouble() < loss ? random.nextInt(2) * 2 : 1;
        final Machine target = machines.get(to);
        for (int i = 0; target != null && i < times; i++) {
            final int incarnation = target.incarnations;
            clock.after(1 + random.nextInt(60), () -> {
                if (target.up && target.incarnations == incarnation) {
                    target.hear(message);
                }
            });
        }
    }

    private void look(final Machine m) {
        final VoterSet table = m.up ? m.proposer.voterSet() : null;
        if (table != null) {
            newest = table.newerThan(newest) ? table : newest;
            final List<Voter> had = votersOf.putIfAbsent(table.generation() + "/" + table.epoch(), table.voters());
            assertThat(had == null || had.equals(table.voters()))
                    .as("one table for %s, at %s: %s, %s", m.name, clock.nowMs(), had, table)
                    .isTrue();
            assertThat(table.voters().stream().map(Voter::name).distinct().count())
                    .isEqualTo(table.voters().size());
            founded.computeIfAbsent(baseOf.get(table.generation()), b -> new HashSet<>())
                    .add(table.generation());
        }
    }

    /** What a seat of the newest table has on its disk, synced; empty if its disk is gone or has not caught up. */
    private Optional<Map<String, byte[]>> state(final Voter voter) {
        final Machine m = machines.get(voter.name());
        final Map<String, byte[]> table = m.gone ? Map.of() : m.synced();
        final boolean same = voter.diskId().equals(text(table.get("~disk")));
        final String mark = voter.diskId() + "/" + newest.generation();
        return same && mark.equals(text(table.get("~caught"))) ? Optional.of(table) : Optional.empty();
    }

    private static String text(final byte[] value) {
        return value == null ? "" : new String(value, StandardCharsets.UTF_8);
    }

    /** How many disks have what, of those with a seat in the newest table. */
    record Copies(int voters, int withState, int fewest, String fewestKey) {
        /** The copies that there have to be: a majority, less the seats whose disks are lost or still catch up. */
        int owed() {
            return voters / 2 + 1 - (voters - withState);
        }
    }

    /** Counts the copies of written-once values on disks, synced. */
    Copies copies(final Map<String, String> confirmed) {
        final List<Map<String, byte[]>> states = newest.voters().stream()
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
                                        .equals(text(MessageCodec.decodeRecord(register, Register.class)
                                                .value()))
                        ? 1
                        : 0;
            }
            if (have < fewest) {
                fewest = have;
                fewestKey = e.getKey();
            }
        }
        return new Copies(newest.voters().size(), states.size(), fewest, fewestKey);
    }

    List<Machine> cores() {
        return machines.values().stream().filter(m -> m.core && m.up).toList();
    }

    /** Whether every core that runs votes, all by one table that has a seat for each. */
    boolean whole() {
        final List<Machine> cores = cores();
        final VoterSet table = cores.get(0).proposer.voterSet();
        return table != null
                && cores.stream()
                        .allMatch(m -> m.acceptor.state() == Acceptor.State.VOTING
                                && m.proposer.voterSet().hasEpoch(table.generation(), table.epoch())
                                && table.voter(m.name) != null);
    }

    String shown() {
        final StringBuilder out = new StringBuilder("at " + clock.nowMs() + " seeds " + seeds);
        machines.forEach((name, m) -> out.append("\n")
                .append(name)
                .append(m.up ? " up" : " down")
                .append(" lives ")
                .append(m.incarnations)
                .append(m.bootstrap ? " first " : " ")
                .append(m.core && m.acceptor != null ? m.acceptor.state() : "")
                .append(m.proposer == null ? "" : " " + m.proposer.voterSet()));
        return out.toString();
    }

    void run(final long untilMs) {
        clock.runUntil(untilMs, () -> machines.values().forEach(this::look));
    }

    long nowMs() {
        return clock.nowMs();
    }
}
