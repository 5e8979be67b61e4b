package spokestall.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.testbed.verdict.Ledger;

/** Each rule that is judged from the observations of clients and upstreams reports its own violations and nothing else. */
class SoakVerdictTest {
    private static final long PID = 17;
    private static final long SENT_MS = 1000;
    private final ProcessHistory history = new ProcessHistory();
    private final SoakVerdict verdict = new SoakVerdict(history);
    private final List<Ledger.Began> began = new ArrayList<>();

    private void recordExchange(
            final boolean runOnce, final SoakExchange.End end, final long tookMs, final int timesRun) {
        verdict.onExchange(new SoakExchange("id", runOnce, PID, end, null, SENT_MS, SENT_MS + tookMs));
        for (int i = 0; i < timesRun; i++) {
            began.add(new Ledger.Began("i", "s", "d", "r", "t", "id", SENT_MS));
        }
    }

    private List<SoakVerdict.SoakRule> violatedRules() {
        verdict.judgeExchanges(began);
        return verdict.violations().stream()
                .map(SoakVerdict.Violation::rule)
                .distinct()
                .toList();
    }

    @Test
    void aRequestThatRanOnceViolatesNoRule() {
        recordExchange(true, SoakExchange.End.RAN, 20, 1);
        assertThat(violatedRules()).isEmpty();
    }

    @Test
    void aRunOnceRequestThatRanTwiceViolatesOnce() {
        recordExchange(true, SoakExchange.End.RAN, 20, 2);
        assertThat(violatedRules()).containsExactly(SoakVerdict.SoakRule.ONCE);
    }

    @Test
    void aRequestThatMayBeRepeatedMayRunTwice() {
        recordExchange(false, SoakExchange.End.RAN, 20, 2);
        assertThat(violatedRules()).isEmpty();
    }

    @Test
    void aRequestThatRanDespiteANotRunResponseViolatesNotRun() {
        recordExchange(false, SoakExchange.End.NOT_RUN, 20, 1);
        assertThat(violatedRules()).containsExactly(SoakVerdict.SoakRule.NOT_RUN);
    }

    @Test
    void aResponseToAnotherRequestViolatesAnswer() {
        recordExchange(false, SoakExchange.End.WRONG, 20, 1);
        assertThat(violatedRules()).containsExactly(SoakVerdict.SoakRule.ANSWER);
    }

    @Test
    void aConnectionThatClosesAfterTheRequestWasForwardedViolatesLost() {
        history.recordStop(PID);
        recordExchange(false, SoakExchange.End.CLOSED, 20, 1);
        assertThat(violatedRules()).containsExactly(SoakVerdict.SoakRule.LOST);
    }

    @Test
    void aKilledProcessMayLeaveRequestsUnanswered() {
        history.recordKill(PID);
        recordExchange(false, SoakExchange.End.CLOSED, 20, 1);
        recordExchange(false, SoakExchange.End.CLOSED, 2000, 0);
        assertThat(violatedRules()).isEmpty();
    }

    @Test
    void aRequestSentWhileTheConnectionClosesViolatesNoRule() {
        recordExchange(false, SoakExchange.End.CLOSED, 100, 0);
        assertThat(violatedRules()).isEmpty();
    }

    @Test
    void aRequestHeldBeforeTheConnectionClosesViolatesMute() {
        recordExchange(false, SoakExchange.End.CLOSED, 2000, 0);
        assertThat(violatedRules()).containsExactly(SoakVerdict.SoakRule.MUTE);
    }

    @Test
    void aRequestWithoutResponseOrCloseViolatesSilent() {
        recordExchange(false, SoakExchange.End.SILENT, 20_000, 0);
        assertThat(violatedRules()).containsExactly(SoakVerdict.SoakRule.SILENT);
    }

    @Test
    void anAcknowledgedChangeThatIsMissingViolatesChange() {
        verdict.onAcknowledged("soak1");
        verdict.onAcknowledged("soak2");
        verdict.judgeConfiguration(JsonNodeFactory.instance.objectNode().put("soak1", 1));
        assertThat(verdict.violations())
                .containsExactly(new SoakVerdict.Violation(SoakVerdict.SoakRule.CHANGE, "soak2 is gone"));
    }
}
