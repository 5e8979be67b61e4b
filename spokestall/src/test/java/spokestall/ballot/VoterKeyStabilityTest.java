package spokestall.ballot;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Keys of what a voter keeps beside its registers, against their literals. */
class VoterKeyStabilityTest {
    @Test
    void keysOfAVotersOwnRecordsAreTheLiteralOnes() {
        assertThat(Voter.VOTERS).isEqualTo("~voters");
        assertThat(Voter.CAUGHT).isEqualTo("~caught");
        assertThat(Voter.DISK).isEqualTo("~disk");
        assertThat(Voter.FLOOR).isEqualTo("~floor");
        assertThat(Formation.FORM).isEqualTo("~form");
    }
}
