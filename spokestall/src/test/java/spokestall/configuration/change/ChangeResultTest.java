package spokestall.configuration.change;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationValidator.ValidationError;

/** Tests the replies' result codes, field names and field order, which are part of the API. */
class ChangeResultTest {
    private static void assertReply(final ChangeResult result, final ResultCode code, final String fields) {
        final Reply reply = result.toReply("chg-1", 17);
        assertThat(reply.result()).isEqualTo(code);
        assertThat(reply.fields().toString()).isEqualTo(fields);
    }

    @Test
    void committedReplyContainsItsVersion() {
        assertReply(new ChangeResult.Committed(9), ResultCode.OK, "{\"version\":9,\"changeId\":\"chg-1\"}");
    }

    @Test
    void otherRepliesContainTheCurrentVersion() {
        final String fields = "{\"current\":17,\"changeId\":\"chg-1\"}";
        assertReply(new ChangeResult.StaleBase(), ResultCode.STALE_BASE, fields);
        assertReply(new ChangeResult.NotFound(), ResultCode.NOT_FOUND, fields);
        assertReply(new ChangeResult.NotReady(), ResultCode.NOT_READY, fields);
        assertReply(new ChangeResult.Undecided(), ResultCode.UNDECIDED, fields);
    }

    @Test
    void anInvalidChangeListsItsErrors() {
        assertReply(
                new ChangeResult.Invalid(List.of(new ValidationError("/holds/d9", "unknown district"))),
                ResultCode.INVALID,
                "{\"current\":17,\"changeId\":\"chg-1\","
                        + "\"troubles\":[{\"pointer\":\"/holds/d9\",\"reason\":\"unknown district\"}]}");
    }

    @Test
    void pendingReplyContainsTheVoterToRedirectTo() {
        assertReply(
                new ChangeResult.Pending("10.1.0.13:7560", OptionalLong.empty()),
                ResultCode.UNDECIDED,
                "{\"current\":17,\"changeId\":\"chg-1\",\"voter\":\"10.1.0.13:7560\"}");
        assertReply(
                new ChangeResult.Pending("", OptionalLong.empty()),
                ResultCode.UNDECIDED,
                "{\"current\":17,\"changeId\":\"chg-1\"}");
    }

    @Test
    void aReplyThatRequiresAPreconditionNamesIt() {
        final ChangeResult required = new ChangeResult.PreconditionRequired(16);
        assertReply(required, ResultCode.NOT_READY, "{\"current\":17,\"changeId\":\"chg-1\",\"unchangedSince\":16}");
        assertThat(ChangeCoordinator.requiredPrecondition(required.toReply("chg-1", 17)))
                .hasValue(16);
        assertThat(ChangeCoordinator.requiredPrecondition(new ChangeResult.NotReady().toReply("chg-1", 17)))
                .isEmpty();
        assertThat(ChangeCoordinator.requiredPrecondition(Reply.of(ResultCode.BAD_PARAMS, null)))
                .isEmpty();
    }

    @Test
    void aPendingChangeMayBeRepeatedAtAVoterUnderItsPrecondition() {
        assertReply(
                new ChangeResult.Pending("10.1.0.13:7560", OptionalLong.of(16)),
                ResultCode.UNDECIDED,
                "{\"current\":17,\"changeId\":\"chg-1\",\"voter\":\"10.1.0.13:7560\",\"unchangedSince\":16}");
    }

    @Test
    void onlyRepliesWithAVoterRedirect() {
        assertThat(ChangeCoordinator.redirectAddress(
                        new ChangeResult.Pending("10.1.0.13:7560", OptionalLong.empty()).toReply("chg-1", 17)))
                .contains("10.1.0.13:7560");
        assertThat(ChangeCoordinator.redirectAddress(
                        new ChangeResult.Pending("", OptionalLong.empty()).toReply("chg-1", 17)))
                .isEmpty();
        assertThat(ChangeCoordinator.redirectAddress(Reply.of(ResultCode.BAD_PARAMS, null)))
                .isEmpty();
    }
}
