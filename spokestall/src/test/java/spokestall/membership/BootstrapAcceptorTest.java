package spokestall.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;

/** Tests the acceptors of three edges, which are the seeds. */
class BootstrapAcceptorTest {
    private static final List<String> SEEDS = List.of("s0", "s1", "s2");
    private static final ProposalNumber NUMBER_OF_A = new ProposalNumber(1, "a");
    private static final ProposalNumber NUMBER_OF_B = new ProposalNumber(2, "b");
    private static final InitialState STATE_OF_A =
            new InitialState(new VoterSet(7, 1, List.of(new Voter("a", "a", "x"))), List.of());
    private static final InitialState STATE_OF_B =
            new InitialState(new VoterSet(8, 1, List.of(new Voter("b", "b", "y"))), List.of());

    /** Environment of an edge that knows no voter set and has no disk to mark. */
    private static final class EdgeEnvironment implements BootstrapAcceptor.Environment {
        @Override
        public VoterSet voterSet() {
            return null;
        }

        @Override
        public void afterDiskMarked(final Runnable action) {
            action.run();
        }
    }

    private final List<BootstrapMessage> sent = new ArrayList<>();
    private final List<BootstrapAcceptor> acceptors = new ArrayList<>();

    @BeforeEach
    void startSeeds() {
        for (final String seed : SEEDS) {
            acceptors.add(acceptor(seed, BootstrapAcceptor.Eligibility.FIRST_INCARNATION));
        }
    }

    private BootstrapAcceptor acceptor(final String seed, final BootstrapAcceptor.Eligibility eligibility) {
        return new BootstrapAcceptor(
                seed, SEEDS, eligibility, (to, message) -> sent.add((BootstrapMessage) message), new EdgeEnvironment());
    }

    private void restart(final int seed) {
        acceptors.set(seed, acceptor(SEEDS.get(seed), BootstrapAcceptor.Eligibility.LATER_INCARNATION));
    }

    private void prepare(final int seed, final String from, final ProposalNumber number) {
        acceptors.get(seed).onMessage(new BootstrapMessage.Prepare(from, SEEDS, number));
    }

    private void accept(final int seed, final String from, final ProposalNumber number, final InitialState state) {
        acceptors.get(seed).onMessage(new BootstrapMessage.Accept(from, SEEDS, number, state));
    }

    /** Has seeds 0 and 1, a majority, accept the proposal of A. */
    private void acceptProposalOfA() {
        prepare(0, "a", NUMBER_OF_A);
        prepare(1, "a", NUMBER_OF_A);
        accept(0, "a", NUMBER_OF_A, STATE_OF_A);
        accept(1, "a", NUMBER_OF_A, STATE_OF_A);
        assertThat(sent)
                .filteredOn(message -> message instanceof BootstrapMessage.Accepted reply && reply.granted())
                .hasSize(2);
        sent.clear();
    }

    @Test
    void aRestartedSeedDoesNotVoteForASecondGeneration() {
        acceptProposalOfA();
        restart(1);
        prepare(1, "b", NUMBER_OF_B);
        prepare(2, "b", NUMBER_OF_B);
        accept(1, "b", NUMBER_OF_B, STATE_OF_B);
        accept(2, "b", NUMBER_OF_B, STATE_OF_B);
        assertThat(sent)
                .as("promises of the one remaining eligible seed")
                .filteredOn(message -> message instanceof BootstrapMessage.Promise)
                .hasSize(1);
        assertThat(sent)
                .filteredOn(message -> message instanceof BootstrapMessage.Accepted)
                .hasSize(1);
    }

    /** The restarted seed no longer votes, so the majority of B needs seed 0, which reports the state it has accepted. */
    @Test
    void aPromiseIncludesThePreviouslyAcceptedState() {
        acceptProposalOfA();
        restart(1);
        prepare(1, "b", NUMBER_OF_B);
        prepare(2, "b", NUMBER_OF_B);
        accept(1, "b", NUMBER_OF_B, STATE_OF_B);
        accept(2, "b", NUMBER_OF_B, STATE_OF_B);
        sent.clear();
        prepare(0, "b", NUMBER_OF_B);
        assertThat(sent)
                .first()
                .isInstanceOfSatisfying(
                        BootstrapMessage.Promise.class,
                        promise -> assertThat(promise.initialState()).isEqualTo(STATE_OF_A));
    }

    @Test
    void aProposerWithOtherSeedsGetsNoReply() {
        acceptProposalOfA();
        prepare(0, "b", NUMBER_OF_B);
        sent.clear();
        acceptors
                .get(0)
                .onMessage(new BootstrapMessage.Prepare("b", List.of("s0", "s1", "s9"), new ProposalNumber(3, "b")));
        assertThat(sent).isEmpty();
    }

    @Test
    void aProposalBelowThePromisedNumberIsRejectedWithThatNumber() {
        prepare(0, "b", NUMBER_OF_B);
        sent.clear();
        prepare(0, "a", NUMBER_OF_A);
        accept(0, "a", NUMBER_OF_A, STATE_OF_A);
        assertThat(sent)
                .containsExactly(
                        new BootstrapMessage.Promise("s0", NUMBER_OF_A, false, NUMBER_OF_B, ProposalNumber.NONE, null),
                        new BootstrapMessage.Accepted("s0", NUMBER_OF_A, false, NUMBER_OF_B));
    }
}
