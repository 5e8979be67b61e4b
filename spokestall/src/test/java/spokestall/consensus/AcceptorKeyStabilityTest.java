package spokestall.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import spokestall.membership.GenerationAcceptor;

/** Guards the keys of node-local records against changes, since the disks of running fleets contain them. */
class AcceptorKeyStabilityTest {
    @Test
    void localRecordKeysAreStable() {
        assertThat(AcceptorStorage.VOTER_SET_KEY).isEqualTo("~voters");
        assertThat(AcceptorStorage.CAUGHT_UP_KEY).isEqualTo("~caught");
        assertThat(AcceptorStorage.DISK_ID_KEY).isEqualTo("~disk");
        assertThat(AcceptorStorage.VERSION_FLOOR_KEY).isEqualTo("~floor");
        assertThat(GenerationAcceptor.VOTE_KEY).isEqualTo("~form");
    }
}
