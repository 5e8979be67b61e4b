package spokestall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class OutlierEjectorTest {
    private static final long BASE_MS = 100;
    private static final long MAX_MS = 350;
    private final OutlierEjector ejector =
            new OutlierEjector(new LoadBalancerParameters.EjectionTimes(BASE_MS, MAX_MS));

    private void assertEjectedUntil(final long untilMs) {
        assertThat(ejector.ejected("i", untilMs - 1)).isTrue();
        assertThat(ejector.ejected("i", untilMs)).isFalse();
    }

    @Test
    void ejectionTimeDoublesUpToTheMaximumUntilAResponse() {
        ejector.onFailure("i", AttemptOutcome.UNREACHABLE, 0);
        assertEjectedUntil(BASE_MS);
        ejector.onFailure("i", AttemptOutcome.UNREACHABLE, 0);
        assertEjectedUntil(2 * BASE_MS);
        for (int i = 0; i < 100; i++) {
            ejector.onFailure("i", AttemptOutcome.UNREACHABLE, 0);
            assertEjectedUntil(MAX_MS);
        }
        ejector.onAnswer("i");
        assertThat(ejector.ejected("i", 0)).isFalse();
        ejector.onFailure("i", AttemptOutcome.UNREACHABLE, 0);
        assertEjectedUntil(BASE_MS);
    }

    @Test
    void ejectsAfterTwoConsecutiveLostOrLateResponses() {
        ejector.onFailure("i", AttemptOutcome.LOST, 0);
        assertThat(ejector.ejected("i", 0)).isFalse();
        ejector.onAnswer("i");
        ejector.onLate("i", 0);
        assertThat(ejector.ejected("i", 0)).isFalse();
        ejector.onFailure("i", AttemptOutcome.LOST, 0);
        assertEjectedUntil(BASE_MS);
    }

    @Test
    void rejectionEjectsForAQuarterOfTheBaseTime() {
        ejector.onFailure("i", AttemptOutcome.REJECTED, 0);
        assertEjectedUntil(BASE_MS / 4);
    }

    @Test
    void retainRemovesStateOfOtherInstances() {
        ejector.onFailure("i", AttemptOutcome.LOST, 0);
        ejector.retain(Set.of("j"));
        ejector.onFailure("i", AttemptOutcome.LOST, 0);
        assertThat(ejector.ejected("i", 0))
                .as("the loss counts as the first one")
                .isFalse();
        ejector.onFailure("i", AttemptOutcome.LOST, 0);
        ejector.retain(Set.of("i"));
        assertEjectedUntil(BASE_MS);
        ejector.retain(Set.of());
        assertThat(ejector.ejected("i", 0)).isFalse();
    }
}
