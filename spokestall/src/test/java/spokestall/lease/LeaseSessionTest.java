package spokestall.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class LeaseSessionTest {
    private static final long DEADLINE_MS = 2000;
    private static final long END_MS = 10_000;
    private final LeaseSession session =
            new LeaseSession("s", "k/1", 7, DEADLINE_MS, END_MS, new SessionCalls(() -> {}));

    @Test
    void aSessionIsValidUntilItsDeadlineAndRenewalsNeverMoveTheDeadlineBack() {
        assertThat(session.isValid(DEADLINE_MS - 1)).isTrue();
        assertThat(session.endReason(DEADLINE_MS)).contains(LeaseSession.EndReason.DEADLINE);
        session.extend(DEADLINE_MS + 400);
        session.extend(DEADLINE_MS + 100);
        assertThat(session.deadlineMs()).isEqualTo(DEADLINE_MS + 400);
        assertThat(session.isValid(DEADLINE_MS + 399)).isTrue();
    }

    @Test
    void noRenewalExtendsASessionBeyondItsLongestDuration() {
        session.extend(END_MS + 5000);
        assertThat(session.isValid(END_MS - 1)).isTrue();
        assertThat(session.endReason(END_MS)).contains(LeaseSession.EndReason.MAX_RUN);
    }

    @Test
    void aCancelledSessionIsNotValid() {
        session.cancel();
        assertThat(session.endReason(0)).contains(LeaseSession.EndReason.CANCELLED);
    }

    @Test
    void anUncertainSessionStaysUncertainAndCannotBeRenewed() {
        session.markUncertain();
        assertThatThrownBy(() -> session.extend(END_MS)).isInstanceOf(AssertionError.class);
        assertThat(session.endReason(0)).contains(LeaseSession.EndReason.UNCERTAIN);
    }
}
