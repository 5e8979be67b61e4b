package spokestall.configuration.change;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.api.Reply;
import spokestall.api.ResultCode;

class CallerReplyTest {
    @Test
    void onlyTheFirstReplyIsGiven() {
        final List<Reply> given = new ArrayList<>();
        final CallerReply reply = new CallerReply("chg-1", () -> 17, given::add);
        reply.give(new ChangeResult.Pending(""));
        reply.give(new ChangeResult.Committed(18));
        assertThat(given).extracting(Reply::result).containsExactly(ResultCode.UNDECIDED);
    }

    @Test
    void aCallerIsAnsweredBeforeItsChangeIsGivenUp() {
        assertThat(ChangePatience.of(950).answersEarly()).isFalse();
        assertThat(new ChangePatience(600, 950, 4000).answersEarly()).isTrue();
        assertThatThrownBy(() -> new ChangePatience(950, 600, 4000)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new ChangePatience(600, 4000, 950)).isInstanceOf(IllegalArgumentException.class);
    }
}
