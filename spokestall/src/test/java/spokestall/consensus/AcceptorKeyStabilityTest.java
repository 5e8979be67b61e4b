package spokestall.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import spokestall.membership.GenerationAcceptor;

/** Keys of what a voter keeps beside its registers, against their literals. */
class AcceptorKeyStabilityTest {
    @Test
    void keysOfAVoterSetOwnRecordsAreTheLiteralOnes() {
        assertThat(Acceptor.VOTER_SET).isEqualTo("~voters");
        assertThat(Acceptor.CAUGHT).isEqualTo("~caught");
        assertThat(Acceptor.DISK).isEqualTo("~disk");
        assertThat(Acceptor.FLOOR).isEqualTo("~floor");
        assertThat(GenerationAcceptor.VOTE_KEY).isEqualTo("~form");
    }
}
