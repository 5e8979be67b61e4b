package spokestall.configuration.change;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import spokestall.configuration.ConfigurationChange;

class ChangeAttemptTest {
    private static final ConfigurationChange CHANGE =
            new ConfigurationChange("chg-1", ConfigurationChange.Kind.PATCH, "{}".getBytes(StandardCharsets.UTF_8), 0);
    private final List<ChangeResult> results = new ArrayList<>();
    private final ChangeAttempt attempt = new ChangeAttempt(
            "chg-1",
            OptionalLong.empty(),
            tree -> new ChangeDraft.Drafted.Write(
                    ConfigurationChange.Kind.PATCH, JsonNodeFactory.instance.objectNode()),
            100,
            500,
            (ended, result) -> results.add(result));

    @Test
    void recordsTimeToFirstConfirmationAndNumberOfProposals() {
        assertThat(attempt.confirmedAfterMs()).isEqualTo(-1);
        attempt.startConfirming();
        attempt.onConfirmed(140);
        attempt.propose(7, CHANGE);
        attempt.startConfirming();
        attempt.onConfirmed(220);
        attempt.propose(8, CHANGE);
        assertThat(attempt.confirmedAfterMs()).isEqualTo(40);
        assertThat(attempt.proposals()).isEqualTo(2);
        assertThat(attempt.waitedMs(230)).isEqualTo(130);
    }

    @Test
    void isConfirmedThenProposedThenCompleted() {
        assertThat(attempt.state()).isEqualTo(ChangeAttempt.State.RECEIVED);
        attempt.startConfirming();
        assertThat(attempt.state()).isEqualTo(ChangeAttempt.State.CONFIRMING);
        final ChangeAttempt.Proposal proposal = attempt.propose(7, CHANGE);
        assertThat(proposal).isEqualTo(new ChangeAttempt.Proposal(attempt, 7, CHANGE));
        assertThat(attempt.state()).isEqualTo(ChangeAttempt.State.PROPOSING);
        attempt.complete(new ChangeResult.Committed(7));
        assertThat(attempt.state()).isEqualTo(ChangeAttempt.State.COMPLETED);
        assertThat(results).containsExactly(new ChangeResult.Committed(7));
    }

    @Test
    void supersededAttemptMayProposeOrConfirmAgain() {
        attempt.startConfirming();
        attempt.propose(7, CHANGE);
        attempt.propose(8, CHANGE);
        attempt.startConfirming();
        attempt.complete(new ChangeResult.StaleBase());
        assertThat(results).containsExactly(new ChangeResult.StaleBase());
    }

    @Test
    void attemptCannotProposeOrCompleteBeforeConfirming() {
        assertThatThrownBy(() -> attempt.propose(7, CHANGE)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> attempt.complete(new ChangeResult.NotReady()))
                .isInstanceOf(IllegalStateException.class);
        assertThat(results).isEmpty();
    }

    @Test
    void resultIsDeliveredOnce() {
        attempt.startConfirming();
        attempt.complete(new ChangeResult.NotReady());
        assertThatThrownBy(() -> attempt.complete(new ChangeResult.Undecided()))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("chg-1")
                .hasMessageContaining("COMPLETED");
        assertThatThrownBy(attempt::startConfirming).isInstanceOf(IllegalStateException.class);
        assertThat(results).containsExactly(new ChangeResult.NotReady());
    }

    @Test
    void remainingTimeIsNegativeAfterTheDeadline() {
        assertThat(attempt.remainingMs(400)).isEqualTo(100);
        assertThat(attempt.remainingMs(600)).isEqualTo(-100);
    }
}
