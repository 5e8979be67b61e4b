package spokestall.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import spokestall.ballot.Voter;
import spokestall.rpc.Result;

/** What a core that the majority has left behind answers its operators, and how soon it is back in touch. */
class LeftBehindTest {
    private static final long CUT_MS = 20_000;
    private static final long CONTACT_MS = 5000;
    private static final int SEEDS = 6;
    private static final int TURNS = 8;
    /** Answers that say nothing of the policy: come back, or ask elsewhere. */
    private static final Set<Result> SAYS_NOTHING =
            EnumSet.of(Result.NOT_READY, Result.UNDECIDED, Result.NOT_FRESH, Result.BUSY);

    /** How a core is set apart from the rest. */
    private enum Apart {
        BOTH_WAYS,
        HEARS_NOTHING,
        IS_NOT_HEARD,
        RESTARTED_WHILE_CUT,
        FROZEN,
        DISK_STALLED
    }

    private final List<String> wrong = new ArrayList<>();

    @Test
    void aCoreThatIsLeftBehindSaysNothingThatTheMajorityWouldNotSay() {
        for (final Apart how : Apart.values()) {
            IntStream.rangeClosed(1, SEEDS).forEach(seed -> play(seed, how, Plant.NONE));
        }
        assertThat(wrong).isEmpty();
    }

    @Test
    void aCoreThatAnswersWithoutAProofIsSeen() {
        play(1, Apart.BOTH_WAYS, Plant.FORGED_PROOFS);
        assertThat(wrong).anyMatch(w -> w.contains("handed out")).anyMatch(w -> w.contains("STALE_BASE"));
    }

    private void play(final long seed, final Apart how, final Plant plant) {
        final OperatorFleet fleet = new OperatorFleet(seed, Deployment.values()[(int) (seed % 2)], plant).begun();
        final Random random = new Random(seed);
        final List<SimNode> cores = fleet.world.cores();
        final SimNode lone = cores.get(random.nextInt(cores.size()));
        final SimNode other = cores.get((cores.indexOf(lone) + 1 + random.nextInt(5)) % 6);
        apart(fleet, lone, how, true);
        for (int turn = 0; turn < TURNS; turn++) {
            final String id = how + "-" + seed + "-" + turn;
            final ObjectNode added =
                    OperatorFleet.key(fleet.newestVersion(), id, 3, "k" + turn).put("key", "another-key-" + turn);
            expect(id, fleet.done(other, "key.add", added), Result.OK);
            if (how == Apart.RESTARTED_WHILE_CUT && turn == 2) {
                lone.kill();
                fleet.run(500);
                lone.start();
            }
            fleet.run(500 + random.nextInt(1000));
            askLone(fleet, lone, other, id, turn);
        }
        apart(fleet, lone, how, false);
        fleet.until(
                how + " " + seed + " is back in touch",
                CONTACT_MS,
                () -> lone.running()
                        && lone.node().voter().state() == Voter.State.VOTING
                        && lone.node().follower().fresh()
                        && OperatorFleet.version(lone) == fleet.newestVersion());
        expect(how + " back", fleet.done(lone, "policy.get", OperatorFleet.JSON.createObjectNode()), Result.OK);
        expect(
                how + " taken when back",
                fleet.done(lone, "policy.patch", fleet.bind(fleet.newestVersion(), "back-" + seed, "back")),
                Result.OK);
    }

    /** Calls that the majority would take or answer otherwise than by what the lone core has. */
    private void askLone(
            final OperatorFleet fleet, final SimNode lone, final SimNode other, final String id, final int turn) {
        if (!lone.running()) {
            return;
        }
        final long newest = fleet.newestVersion();
        final OperatorFleet.Call got = fleet.done(lone, "policy.get", OperatorFleet.JSON.createObjectNode());
        if (got.result() == Result.OK && got.reply.fields().path("version").asLong() < newest) {
            wrong.add(id + " handed out " + got.reply.fields().path("version"));
        } else if (got.result() != Result.OK && !SAYS_NOTHING.contains(got.result())) {
            wrong.add(id + " policy.get " + got.result());
        }
        nothingOr(
                Result.OK,
                id + " patch on the newest",
                fleet.done(lone, "policy.patch", fleet.bind(newest, id + "-p", "p" + turn)));
        nothingOr(
                Result.OK,
                id + " withdraw of a key that the majority has",
                fleet.done(lone, "key.withdraw", OperatorFleet.key(fleet.newestVersion(), id + "-w", 3, "k" + turn)));
        nothingOr(
                Result.OK,
                id + " repeat of what the majority confirmed",
                fleet.done(
                        lone, "key.add", OperatorFleet.key(1, id, 3, "k" + turn).put("key", "another-key-" + turn)));
        nothingOr(
                Result.STALE_BASE,
                id + " patch on its own version",
                fleet.done(lone, "policy.patch", fleet.bind(OperatorFleet.version(lone) - 1, id + "-s", "s" + turn)));
        final OperatorFleet.Call where = fleet.done(
                lone,
                "where",
                OperatorFleet.JSON.createObjectNode().put("client", "c").put("key", "another-key-" + turn));
        if (where.result() == Result.BAD_KEY
                && other.node().book().policy().tree().toString().contains("\"k" + turn + "\"")) {
            wrong.add(id + " where refused a key that the majority knows");
        }
    }

    private void nothingOr(final Result right, final String what, final OperatorFleet.Call call) {
        if (call.result() != null && call.result() != right && !SAYS_NOTHING.contains(call.result())) {
            wrong.add(what + ": " + call.result());
        }
    }

    private void expect(final String what, final OperatorFleet.Call call, final Result right) {
        if (call.result() != right) {
            wrong.add(what + ": " + call.result());
        }
    }

    private static void apart(final OperatorFleet fleet, final SimNode lone, final Apart how, final boolean now) {
        for (final SimNode other : fleet.othersThan(lone)) {
            switch (how) {
                case BOTH_WAYS, RESTARTED_WHILE_CUT -> fleet.world.net.cutBoth(lone.address, other.address, now);
                case HEARS_NOTHING -> fleet.world.net.cut(other.address, lone.address, now);
                case IS_NOT_HEARD -> fleet.world.net.cut(lone.address, other.address, now);
                default -> {}
            }
        }
        if (how == Apart.FROZEN && now) {
            lone.freeze();
        } else if (how == Apart.FROZEN) {
            lone.thaw();
        } else if (how == Apart.DISK_STALLED && now) {
            lone.disk.stall(CUT_MS);
        }
    }
}
