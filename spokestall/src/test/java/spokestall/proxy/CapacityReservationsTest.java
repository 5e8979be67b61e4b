package spokestall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CapacityReservationsTest {
    private final CapacityReservations reservations = new CapacityReservations();

    @Test
    void reservationCountsForAllTenantsAndOpenRequestForItsOwnTenant() {
        reservations.reserve("s", "t1");
        assertThat(reservations.unavailableSlots("s", "t1")).isEqualTo(2);
        assertThat(reservations.unavailableSlots("s", "t2")).isEqualTo(1);
        assertThat(reservations.unavailableSlots("other", "t1")).isZero();
        reservations.release("s");
        assertThat(reservations.unavailableSlots("s", "t1")).isEqualTo(1);
        assertThat(reservations.unavailableSlots("s", "t2")).isZero();
        reservations.end("s", "t1");
        assertThat(reservations.unavailableSlots("s", "t1")).isZero();
    }

    @Test
    void countsReturnToZeroInAnyOrderOfReleaseAndEnd() {
        reservations.reserve("s", "t1");
        reservations.reserve("s", "t2");
        reservations.reserve("s", "t1");
        assertThat(reservations.unavailableSlots("s", "t1")).isEqualTo(3 + 2);
        assertThat(reservations.unavailableSlots("s", "t2")).isEqualTo(3 + 1);
        reservations.release("s");
        reservations.end("s", "t2");
        assertThat(reservations.unavailableSlots("s", "t1")).isEqualTo(2 + 2);
        assertThat(reservations.unavailableSlots("s", "t2")).isEqualTo(2);
        reservations.release("s");
        reservations.release("s");
        assertThat(reservations.unavailableSlots("s", "t1")).isEqualTo(2);
        assertThat(reservations.unavailableSlots("s", "t2")).isZero();
        reservations.end("s", "t1");
        reservations.end("s", "t1");
        assertThat(reservations.unavailableSlots("s", "t1")).isZero();
        reservations.reserve("s", "t1");
        assertThat(reservations.unavailableSlots("s", "t1"))
                .as("the counts start at zero again")
                .isEqualTo(2);
    }
}
