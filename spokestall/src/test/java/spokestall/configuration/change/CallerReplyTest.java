package spokestall.configuration.change;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import spokestall.api.Reply;
import spokestall.api.ResultCode;

class CallerReplyTest {
    @Test
    void onlyTheFirstReplyIsSent() {
        final List<Reply> sent = new ArrayList<>();
        final CallerReply reply = new CallerReply("chg-1", () -> 17, sent::add);
        reply.send(new ChangeResult.Pending("", OptionalLong.empty()));
        reply.send(new ChangeResult.Committed(18));
        assertThat(sent).extracting(Reply::result).containsExactly(ResultCode.UNDECIDED);
    }

    @Test
    void callerMayReceiveAReplyBeforeTheChangeIsAbandoned() {
        assertThat(ChangeDeadlines.of(950).mayReplyEarly()).isFalse();
        assertThat(new ChangeDeadlines(600, 950, 4000).mayReplyEarly()).isTrue();
        assertThatThrownBy(() -> new ChangeDeadlines(950, 600, 4000)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new ChangeDeadlines(600, 4000, 950)).isInstanceOf(IllegalArgumentException.class);
    }
}
