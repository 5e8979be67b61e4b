package spokestall.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.consensus.ConsensusTestContext;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.Register;
import spokestall.consensus.RegisterEdit;
import spokestall.message.MessageCodec;

class LeaseManagerTest {
    private static final LeaseTimeouts TIMEOUTS = new LeaseTimeouts(2000, 6000, 400, 800, 200, 100, 20_000, 0);
    private static final long CHECKED_SPAN_MS = 3000;
    /** After the end of any test. */
    private static final long LATER_MS = Long.MAX_VALUE / 2;
    /** The longest time until the last of six voters attempts an acquisition. */
    private static final long STAGGER_MAX_MS = 6 * TIMEOUTS.staggerMs();

    /**
     * Checks mutual exclusion with managers that are paused at random times, on a lossy network with restarting voters: at most one
     * session is valid at any time, and fencing tokens increase.
     */
    @Test
    void atMostOneSessionIsValidAndFencingTokensRise() {
        assertThat(countSessions(false)).isGreaterThan(60);
    }

    /**
     * Checks the same with local replicas of the register: one is current, one is late, one never changes and one is sometimes
     * missing.
     */
    @Test
    void staleReplicasNeverLeadToTwoValidSessions() {
        assertThat(countSessions(true)).isGreaterThan(60);
    }

    private static LeaseReplica replica(final ConsensusTestContext context, final int number) {
        final Proposer reader = context.proposer("r" + number);
        final ArrayDeque<Register> copies = new ArrayDeque<>(List.of(register(null)));
        final Runnable readRegister = new Runnable() {
            @Override
            public void run() {
                context.clock.after(200, this);
                reader.read(Lease.key("usage_report"), 300, outcome -> {
                    if (number != 2 && outcome instanceof ProposalOutcome.Committed committed) {
                        copies.add(register(committed.value()));
                        if (copies.size() > (number == 1 ? 5 : 1)) {
                            copies.poll();
                        }
                    }
                });
            }
        };
        context.clock.after(1, readRegister);
        return () -> number == 3 && context.random.nextInt(10) == 0 ? null : copies.peek();
    }

    private static Register register(final byte[] value) {
        return new Register(ProposalNumber.NONE, ProposalNumber.NONE, value);
    }

    private static int countSessions(final boolean replicas) {
        int sessionCount = 0;
        for (int seed = 0; seed < 20; seed++) {
            final ConsensusTestContext context = new ConsensusTestContext(seed, 0.1);
            final List<LeaseSession> sessions = new ArrayList<>();
            final long[] frozenUntilMs = new long[4];
            for (int k = 0; k < 4; k++) {
                final int number = k;
                final LeaseManager leaseManager = new LeaseManager(
                        new LeaseContext(
                                "usage_report", "k" + k, context.proposer("k" + k), context.clock, context.random),
                        TIMEOUTS,
                        session -> {
                            assertThat(sessions).allSatisfy(e -> {
                                assertThat(e.fencingToken()).isLessThan(session.fencingToken());
                                assertThat(e.owner()).isNotEqualTo(session.owner());
                            });
                            sessions.add(session);
                        },
                        replicas ? replica(context, k) : LeaseReplica.NONE);
                final Runnable tick = new Runnable() {
                    @Override
                    public void run() {
                        context.clock.after(100, this);
                        if (context.clock.nowMs() >= frozenUntilMs[number]) {
                            leaseManager.onTick();
                        }
                    }
                };
                context.clock.after(context.random.nextInt(100), tick);
            }
            for (int i = 0; i < 10; i++) {
                context.clock.after(
                        context.random.nextInt(50_000),
                        () -> frozenUntilMs[context.random.nextInt(4)] =
                                context.clock.nowMs() + 1000 + context.random.nextInt(5000));
                context.clock.after(
                        context.random.nextInt(50_000), () -> context.powerCycle(context.random.nextInt(6)));
            }
            for (long atMs = 200; atMs < 60_000; atMs += 20) {
                context.run(atMs);
                final long nowMs = context.clock.nowMs();
                assertThat(sessions.stream().filter(e -> e.isValid(nowMs)).count())
                        .isLessThanOrEqualTo(1);
            }
            sessionCount += sessions.size();
        }
        return sessionCount;
    }

    /**
     * A rival watches a holder that renews through the local replica alone. Once the holder stops renewing, the rival reads the
     * lease from the store before it acquires it.
     */
    @Test
    void theStoreIsReadOnlyAfterTheReplicaIsUnchangedForTheWholeLeaseSpan() {
        final ConsensusTestContext context = new ConsensusTestContext(2, 0);
        final Proposer writer = context.proposer("w");
        final byte[][] copy = {null};
        final long[] renewal = {0};
        final long[] renewedMs = {0};
        final Runnable renew = () -> writer.propose(
                Lease.key("usage_report"),
                800,
                value -> new RegisterEdit.Set(
                        MessageCodec.encodeRecord(new Lease("w/1", "w", ++renewal[0], 1, 2000, false))),
                outcome -> {
                    copy[0] = ((ProposalOutcome.Committed) outcome).value();
                    renewedMs[0] = context.clock.nowMs();
                });
        renew.run();
        context.run(context.clock.nowMs() + 300);
        final long[] acquiredMs = {-1};
        final LeaseManager leaseManager = new LeaseManager(
                new LeaseContext("usage_report", "k", context.proposer("k"), context.clock, context.random),
                TIMEOUTS,
                session -> acquiredMs[0] = context.clock.nowMs(),
                () -> register(copy[0]));
        for (int i = 0; i < 100; i++) {
            if (i % 4 == 0) {
                renew.run();
            }
            leaseManager.onTick();
            context.run(context.clock.nowMs() + 100);
            assertThat(acquiredMs[0]).isNegative();
        }
        final long stoppedMs = renewedMs[0];
        while (acquiredMs[0] < 0 && context.clock.nowMs() < stoppedMs + 6000) {
            leaseManager.onTick();
            context.run(context.clock.nowMs() + 50);
        }
        assertThat(leaseManager.observedLease().fencingToken()).isGreaterThan(1);
        assertThat(acquiredMs[0] - stoppedMs)
                .isBetween(TIMEOUTS.leaseMs() + TIMEOUTS.safetyMarginMs(), 2 * TIMEOUTS.leaseMs());
    }

    /** An absent lease may have been lost with the disks that stored it while its holder still acts under it. */
    @Test
    void anAbsentLeaseIsWatchedForTheWholeLeaseSpanBeforeItIsAcquired() {
        final ConsensusTestContext context = new ConsensusTestContext(1, 0);
        final long[] acquiredMs = {-1};
        final LeaseManager leaseManager = new LeaseManager(
                new LeaseContext("usage_report", "k", context.proposer("k"), context.clock, context.random),
                TIMEOUTS,
                session -> acquiredMs[0] = context.clock.nowMs(),
                LeaseReplica.NONE);
        final long fromMs = context.clock.nowMs();
        for (long atMs = fromMs; atMs < fromMs + 6000; atMs += 50) {
            context.run(atMs);
            leaseManager.onTick();
        }
        assertThat(acquiredMs[0] - fromMs)
                .isBetween(TIMEOUTS.leaseMs() + TIMEOUTS.safetyMarginMs(), 2 * TIMEOUTS.leaseMs());
    }

    private static final LeaseTimeouts TIMEOUTS_WITH_COOLDOWN =
            new LeaseTimeouts(2000, 6000, 400, 800, 200, 100, 20_000, 3600);

    /** One incarnation of a node, with its lease manager and the sessions that it started. */
    private static final class Incarnation implements LeasedTask {
        private final ConsensusTestContext context;
        private final String name;
        private final LeaseManager leaseManager;
        private final List<LeaseSession> sessions = new ArrayList<>();
        private boolean callInFlight;
        /** Whether a call in flight ends later; otherwise it has ended without an answer. */
        private boolean callsEnd;

        Incarnation(
                final ConsensusTestContext context, final String name, final int number, final LeaseTimeouts timeouts) {
            this.context = context;
            this.name = name;
            this.leaseManager = new LeaseManager(
                    new LeaseContext(
                            "usage_report", name, context.proposer(name + "." + number), context.clock, context.random),
                    timeouts,
                    this,
                    LeaseReplica.NONE);
        }

        @Override
        public void onSessionStarted(final LeaseSession session) {
            sessions.add(session);
        }

        @Override
        public boolean isQuiescent() {
            return !callInFlight;
        }

        @Override
        public boolean hasCallInFlight() {
            return callsEnd && callInFlight;
        }

        LeaseSession lastSession() {
            return sessions.get(sessions.size() - 1);
        }

        boolean mayAct() {
            return !sessions.isEmpty() && lastSession().isValid(context.clock.nowMs());
        }
    }

    /**
     * Ticks all given incarnations until the awaited one starts a session. Returns the elapsed time, which is the full span if it
     * started none.
     */
    private static long msUntilSessionOf(
            final ConsensusTestContext context,
            final long spanMs,
            final Incarnation awaited,
            final Incarnation... others) {
        final long fromMs = context.clock.nowMs();
        final int sessionsBefore = awaited.sessions.size();
        while (awaited.sessions.size() == sessionsBefore && context.clock.nowMs() < fromMs + spanMs) {
            awaited.leaseManager.onTick();
            for (final Incarnation other : others) {
                other.leaseManager.onTick();
            }
            context.run(context.clock.nowMs() + 20);
        }
        return context.clock.nowMs() - fromMs;
    }

    /**
     * If a holder restarts before another node acquires the lease, no task acts under its old lease any more, so a wait for the
     * expiry would only lose time. A lease from an acquisition with a late outcome looks the same.
     */
    @Test
    void aRestartedHolderAcquiresItsOwnLeaseWithoutWaitingForExpiry() {
        final ConsensusTestContext context = new ConsensusTestContext(3, 0);
        final Incarnation before = new Incarnation(context, "k", 1, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 10_000, before);
        final Incarnation after = new Incarnation(context, "k", 2, TIMEOUTS_WITH_COOLDOWN);
        assertThat(msUntilSessionOf(context, 10_000, after)).isLessThan(TIMEOUTS.leaseMs() / 2);
        assertThat(after.sessions.get(0).fencingToken())
                .isGreaterThan(before.sessions.get(0).fencingToken());
    }

    /** Another node may have acquired the lease since, and that change may have been lost with the disks of the old generation. */
    @Test
    void aRestartedHolderWaitsForExpiryOfItsLeaseFromAnOlderGeneration() {
        final ConsensusTestContext context = new ConsensusTestContext(4, 0);
        context.proposer("w")
                .propose(
                        Lease.key("usage_report"),
                        800,
                        value -> new RegisterEdit.Set(
                                MessageCodec.encodeRecord(new Lease("k/1", "k", 0, 7, TIMEOUTS.leaseMs(), false))),
                        outcome -> {});
        context.run(context.clock.nowMs() + 500);
        assertThat(msUntilSessionOf(context, 10_000, new Incarnation(context, "k", 1, TIMEOUTS)))
                .isGreaterThanOrEqualTo(TIMEOUTS.leaseMs() + TIMEOUTS.safetyMarginMs());
    }

    /**
     * After a graceful shutdown another node acquires the released lease at once, but a recent holder first waits for its
     * cooldown.
     */
    @Test
    void aReleasedLeaseIsAcquiredAtOnceButNotByAFormerHolderWithinItsCooldown() {
        final ConsensusTestContext context = new ConsensusTestContext(6, 0);
        final Incarnation first = new Incarnation(context, "k1", 1, TIMEOUTS_WITH_COOLDOWN);
        final Incarnation second = new Incarnation(context, "k2", 1, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 10_000, first);
        msUntilSessionOf(context, TIMEOUTS_WITH_COOLDOWN.cooldownMs(), second, first);
        final long stoppedMs = context.clock.nowMs();
        first.leaseManager.stop(() -> {});
        assertThat(msUntilSessionOf(context, 10_000, second)).isLessThan(STAGGER_MAX_MS + TIMEOUTS.leaseMs() / 2);
        final Incarnation firstRestarted = new Incarnation(context, "k1", 2, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 500, firstRestarted, second);
        second.leaseManager.stop(() -> {});
        msUntilSessionOf(context, 10_000, firstRestarted);
        assertThat(firstRestarted.sessions).hasSize(1);
        assertThat(context.clock.nowMs() - stoppedMs).isGreaterThanOrEqualTo(TIMEOUTS_WITH_COOLDOWN.cooldownMs());
    }

    /** A holder doesn't release its lease while one of its calls may still arrive; the lease expires instead. */
    @Test
    void aHolderWithACallInFlightLeavesItsLeaseToExpire() {
        final ConsensusTestContext context = new ConsensusTestContext(7, 0);
        final Incarnation holder = new Incarnation(context, "k1", 1, TIMEOUTS_WITH_COOLDOWN);
        final Incarnation rival = new Incarnation(context, "k2", 1, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 10_000, holder);
        msUntilSessionOf(context, TIMEOUTS_WITH_COOLDOWN.cooldownMs(), rival, holder);
        holder.callInFlight = true;
        holder.leaseManager.stop(() -> {});
        assertThat(msUntilSessionOf(context, 10_000, rival))
                .isGreaterThan(TIMEOUTS.leaseMs() - TIMEOUTS.renewIntervalMs());
    }

    /** Ticks the holder until its call is announced. */
    private static void announceCall(final ConsensusTestContext context, final Incarnation holder) {
        final List<Boolean> announced = new ArrayList<>();
        holder.lastSession().calls().announce(LATER_MS, announced::add);
        while (announced.isEmpty()) {
            context.run(context.clock.nowMs() + 20);
            holder.leaseManager.onTick();
        }
        assertThat(announced).containsExactly(true);
    }

    /**
     * Guards against: a holder froze with a call under way, which arrived after its successor's. The holder can't take it back, so its
     * rivals wait longer.
     */
    @Test
    void rivalsWaitForTheCallLeaseWhileAHolderThatStoppedMayHaveACallInFlight() {
        final ConsensusTestContext context = new ConsensusTestContext(9, 0);
        final Incarnation holder = new Incarnation(context, "k1", 1, TIMEOUTS_WITH_COOLDOWN);
        final Incarnation rival = new Incarnation(context, "k2", 1, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 10_000, holder);
        msUntilSessionOf(context, TIMEOUTS_WITH_COOLDOWN.cooldownMs(), rival, holder);
        announceCall(context, holder);
        assertThat(msUntilSessionOf(context, 20_000, rival))
                .isBetween(
                        TIMEOUTS.callLeaseMs() + TIMEOUTS.safetyMarginMs() - TIMEOUTS.renewIntervalMs(),
                        TIMEOUTS.callLeaseMs() + TIMEOUTS.leaseMs());
    }

    /** Guards against: a window whose counts came late was missed, since its successor waited for the whole lease of a call. */
    @Test
    void rivalsWaitNoLongerThanTheCallIsToBeCovered() {
        final ConsensusTestContext context = new ConsensusTestContext(16, 0);
        final Incarnation holder = new Incarnation(context, "k1", 1, TIMEOUTS_WITH_COOLDOWN);
        final Incarnation rival = new Incarnation(context, "k2", 1, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 10_000, holder);
        msUntilSessionOf(context, TIMEOUTS_WITH_COOLDOWN.cooldownMs(), rival, holder);
        final long coveredMs = TIMEOUTS.callLeaseMs() - TIMEOUTS.leaseMs();
        final List<Boolean> announced = new ArrayList<>();
        holder.lastSession().calls().announce(context.clock.nowMs() + coveredMs, announced::add);
        context.run(context.clock.nowMs() + TIMEOUTS.renewIntervalMs() / 2);
        assertThat(announced).containsExactly(true);
        assertThat(msUntilSessionOf(context, 20_000, rival))
                .isBetween(coveredMs - TIMEOUTS.renewIntervalMs(), coveredMs + TIMEOUTS.leaseMs() / 2 + STAGGER_MAX_MS);
    }

    /** A renewal beside an open call keeps the longer span; the end of the call ends it at once. */
    @Test
    void rivalsWaitForTheUsualLeaseOnceTheCallHasEnded() {
        final ConsensusTestContext context = new ConsensusTestContext(10, 0);
        final Incarnation holder = new Incarnation(context, "k1", 1, TIMEOUTS_WITH_COOLDOWN);
        final Incarnation rival = new Incarnation(context, "k2", 1, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 10_000, holder);
        announceCall(context, holder);
        assertThat(msUntilSessionOf(context, 3 * TIMEOUTS.renewIntervalMs(), rival, holder))
                .isGreaterThanOrEqualTo(3 * TIMEOUTS.renewIntervalMs());
        assertThat(rival.leaseManager.observedLease().spanMs()).isEqualTo(TIMEOUTS.callLeaseMs());
        holder.lastSession().calls().onCallEnded();
        context.run(context.clock.nowMs() + TIMEOUTS.renewIntervalMs());
        assertThat(msUntilSessionOf(context, 20_000, rival))
                .isLessThan(TIMEOUTS.leaseMs() + TIMEOUTS.safetyMarginMs() + STAGGER_MAX_MS + TIMEOUTS.leaseMs() / 2);
    }

    /** The end of its process has reset the connections of its calls. */
    @Test
    void aRestartedHolderWithAnAnnouncedCallAcquiresItsOwnLeaseAtOnce() {
        final ConsensusTestContext context = new ConsensusTestContext(11, 0);
        final Incarnation before = new Incarnation(context, "k", 1, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 10_000, before);
        announceCall(context, before);
        assertThat(msUntilSessionOf(context, 10_000, new Incarnation(context, "k", 2, TIMEOUTS_WITH_COOLDOWN)))
                .isLessThan(TIMEOUTS.leaseMs() / 2);
    }

    /** Guards against: each stop during a call left its successor waiting for the expiry of the lease. */
    @Test
    void aStoppedHolderReleasesItsLeaseAtTheEndOfItsCall() {
        final ConsensusTestContext context = new ConsensusTestContext(12, 0);
        final Incarnation holder = new Incarnation(context, "k1", 1, TIMEOUTS_WITH_COOLDOWN);
        final Incarnation rival = new Incarnation(context, "k2", 1, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 10_000, holder);
        msUntilSessionOf(context, TIMEOUTS_WITH_COOLDOWN.cooldownMs(), rival, holder);
        holder.callInFlight = true;
        holder.callsEnd = true;
        announceCall(context, holder);
        final int[] completions = {0};
        holder.leaseManager.stop(() -> completions[0]++);
        assertThat(msUntilSessionOf(context, 1000, rival, holder)).isGreaterThanOrEqualTo(1000);
        assertThat(completions[0]).as("completions of the stop during the call").isZero();
        holder.callInFlight = false;
        holder.lastSession().calls().onCallEnded();
        assertThat(msUntilSessionOf(context, 10_000, rival, holder))
                .isLessThan(STAGGER_MAX_MS + TIMEOUTS.leaseMs() / 2);
        assertThat(completions[0]).as("completions of the stop").isEqualTo(1);
    }

    /**
     * Guards against: a holder that woke up with an unanswered call made its successor wait for another whole lease, and the window was
     * missed. Once it has reset its connection it releases the lease, which has expired long since.
     */
    @Test
    void aHolderThatRunsAgainAfterItsLeaseReleasesItAlthoughACallWasUnanswered() {
        final ConsensusTestContext context = new ConsensusTestContext(14, 0);
        final Incarnation holder = new Incarnation(context, "k1", 1, TIMEOUTS_WITH_COOLDOWN);
        final Incarnation rival = new Incarnation(context, "k2", 1, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 10_000, holder);
        msUntilSessionOf(context, TIMEOUTS_WITH_COOLDOWN.cooldownMs(), rival, holder);
        announceCall(context, holder);
        holder.callInFlight = true;
        final long frozenMs = TIMEOUTS.callLeaseMs() - TIMEOUTS.leaseMs() / 2;
        assertThat(msUntilSessionOf(context, frozenMs, rival)).isGreaterThanOrEqualTo(frozenMs);
        assertThat(msUntilSessionOf(context, 10_000, rival, holder))
                .isBetween(TIMEOUTS.safetyMarginMs(), TIMEOUTS.leaseMs() / 2 + STAGGER_MAX_MS);
    }

    /** The same, but the holder ran on: its lease is not released before it expires. */
    @Test
    void aHolderWhoseSessionEndsWithAnUnansweredCallDoesNotReleaseItsLeaseBeforeItsExpiry() {
        final ConsensusTestContext context = new ConsensusTestContext(15, 0);
        final LeaseTimeouts shortSession = new LeaseTimeouts(2000, 6000, 400, 800, 200, 100, 5000, 3600);
        final Incarnation holder = new Incarnation(context, "k1", 1, shortSession);
        final Incarnation rival = new Incarnation(context, "k2", 1, shortSession);
        msUntilSessionOf(context, 10_000, holder);
        holder.callInFlight = true;
        while (holder.mayAct()) {
            holder.leaseManager.onTick();
            rival.leaseManager.onTick();
            context.run(context.clock.nowMs() + 20);
        }
        assertThat(msUntilSessionOf(context, 10_000, rival, holder))
                .isGreaterThan(shortSession.leaseMs() - shortSession.renewIntervalMs() - shortSession.storeTimeoutMs());
    }

    @Test
    void anAnnouncementAfterTheEndOfTheSessionIsRejected() {
        final ConsensusTestContext context = new ConsensusTestContext(13, 0);
        final Incarnation holder = new Incarnation(context, "k1", 1, TIMEOUTS_WITH_COOLDOWN);
        msUntilSessionOf(context, 10_000, holder);
        final List<Boolean> announced = new ArrayList<>();
        holder.lastSession().calls().announce(LATER_MS, announced::add);
        holder.leaseManager.stop(() -> {});
        holder.lastSession().calls().announce(LATER_MS, announced::add);
        context.run(context.clock.nowMs() + 2 * TIMEOUTS.storeTimeoutMs());
        assertThat(announced).containsExactly(false, false);
    }

    @Test
    void aStopDuringAnAcquisitionStartsNoSessionAndLeavesTheLeaseReleased() {
        final ConsensusTestContext context = new ConsensusTestContext(8, 0);
        final Incarnation stopped = new Incarnation(context, "k1", 1, TIMEOUTS_WITH_COOLDOWN);
        while (stopped.leaseManager.state() != LeaseManager.State.ACQUIRING) {
            stopped.leaseManager.onTick();
            context.run(context.clock.nowMs() + 20);
        }
        final int[] completions = {0};
        stopped.leaseManager.stop(() -> completions[0]++);
        context.run(context.clock.nowMs() + 3 * TIMEOUTS.storeTimeoutMs());
        assertThat(stopped.sessions).as("sessions of a stopped manager").isEmpty();
        assertThat(completions[0]).as("completions of the stop").isEqualTo(1);
        assertThat(stopped.leaseManager.state()).isEqualTo(LeaseManager.State.STOPPED);
        final Incarnation next = new Incarnation(context, "k2", 1, TIMEOUTS);
        assertThat(msUntilSessionOf(context, 10_000, next)).isLessThan(STAGGER_MAX_MS + TIMEOUTS.leaseMs() / 2);
    }

    /**
     * Checks holders that restart or release the lease at random times: only one acts at a time, and none acts again after its
     * successor within the span in which the order of holders is checked.
     */
    @Test
    void aFormerHolderDoesNotActAgainWithinTheCheckedSpan() {
        int holderChanges = 0;
        for (int seed = 0; seed < 30; seed++) {
            holderChanges += countHolderChanges(seed);
        }
        assertThat(holderChanges).isGreaterThan(100);
    }

    private static int countHolderChanges(final long seed) {
        final ConsensusTestContext context = new ConsensusTestContext(seed, 0.05);
        final List<Incarnation> incarnations = new ArrayList<>();
        final List<String> actors = new ArrayList<>();
        final List<Long> lastActMs = new ArrayList<>();
        for (int k = 0; k < 4; k++) {
            incarnations.add(new Incarnation(context, "k" + k, 0, TIMEOUTS_WITH_COOLDOWN));
        }
        int number = 1;
        for (int tick = 0; tick < 8000; tick++) {
            final long nowMs = context.clock.nowMs();
            final List<Incarnation> acting =
                    incarnations.stream().filter(Incarnation::mayAct).toList();
            assertThat(acting).hasSizeLessThanOrEqualTo(1);
            for (final Incarnation incarnation : acting) {
                if (actors.isEmpty() || !actors.get(actors.size() - 1).equals(incarnation.name)) {
                    final int previousIndex = actors.lastIndexOf(incarnation.name);
                    assertThat(previousIndex < 0 ? Long.MAX_VALUE : nowMs - lastActMs.get(previousIndex))
                            .isGreaterThanOrEqualTo(CHECKED_SPAN_MS);
                    actors.add(incarnation.name);
                    lastActMs.add(nowMs);
                }
                lastActMs.set(lastActMs.size() - 1, nowMs);
            }
            if (context.random.nextInt(200) == 0) {
                final int index = acting.isEmpty() || context.random.nextInt(3) == 0
                        ? context.random.nextInt(incarnations.size())
                        : incarnations.indexOf(acting.get(0));
                final Incarnation replaced = incarnations.get(index);
                if (context.random.nextBoolean()) {
                    replaced.leaseManager.stop(() -> {});
                }
                incarnations.set(index, new Incarnation(context, replaced.name, number++, TIMEOUTS_WITH_COOLDOWN));
            }
            for (int k = 0; k < incarnations.size(); k++) {
                if ((tick + k) % 10 == 0) {
                    incarnations.get(k).leaseManager.onTick();
                }
            }
            context.run(nowMs + 20);
        }
        return actors.size();
    }
}
