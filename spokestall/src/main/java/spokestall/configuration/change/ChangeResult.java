package spokestall.configuration.change;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalLong;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.ConfigurationValidator.ValidationError;

/** The result of a request to change the configuration. */
sealed interface ChangeResult {
    /** The reply field with the address of the voter to which the caller should repeat the request. */
    String VOTER_FIELD = "voter";

    /** The reply field with the precondition under which the caller should repeat the request. */
    String UNCHANGED_SINCE_FIELD = "unchangedSince";

    /** The change is committed as this version, or this version already is as requested. */
    record Committed(long version) implements ChangeResult {}

    /** The request applies only to a version that isn't the newest. */
    record StaleBase() implements ChangeResult {}

    /** The request refers to an object that doesn't exist in the newest version. */
    record NotFound() implements ChangeResult {}

    /** The request is invalid, or would make the configuration invalid. */
    record Invalid(List<ValidationError> errors) implements ChangeResult {}

    /**
     * The request has no precondition, or one that doesn't hold: a conflicting change committed after the version that it names. The
     * caller may immediately repeat the request under this precondition.
     *
     * @param unchangedSince the version after which no conflicting change may commit before the request does
     */
    record PreconditionRequired(long unchangedSince) implements ChangeResult {}

    /** No proposal of this request can still commit: the newest version could not be confirmed in time. */
    record NotReady() implements ChangeResult {}

    /** The change may already be committed, or may commit later. */
    record Undecided() implements ChangeResult {}

    /**
     * The change is still in progress here. The caller may repeat the request; if a voter is given, immediately and to that voter.
     *
     * @param voter the address of a voting core, or empty
     * @param unchangedSince the precondition of a request without an id, under which the caller may repeat it immediately
     */
    record Pending(String voter, OptionalLong unchangedSince) implements ChangeResult {}

    /**
     * Returns the reply to the operator. The field names are part of the API.
     *
     * @param changeId the id of the request
     * @param currentVersion the version applied here; every reply except that of a committed change contains it
     */
    default Reply toReply(final String changeId, final long currentVersion) {
        final ObjectNode fields = ConfigurationStore.JSON.createObjectNode();
        if (this instanceof Committed committed) {
            return Reply.of(
                    ResultCode.OK, fields.put("version", committed.version()).put("changeId", changeId));
        }
        fields.put("current", currentVersion).put("changeId", changeId);
        if (this instanceof Invalid invalid) {
            final ArrayNode list = fields.putArray("troubles");
            invalid.errors()
                    .forEach(error ->
                            list.addObject().put("pointer", error.pointer()).put("reason", error.reason()));
        }
        if (this instanceof Pending pending) {
            putRepeat(fields, pending.voter(), pending.unchangedSince());
        }
        if (this instanceof PreconditionRequired required) {
            putRepeat(fields, "", OptionalLong.of(required.unchangedSince()));
        }
        return Reply.of(code(), fields);
    }

    /** Adds the voter and the precondition, as far as there are any, with which the caller should repeat the request. */
    private static void putRepeat(final ObjectNode fields, final String voter, final OptionalLong unchangedSince) {
        if (!voter.isEmpty()) {
            fields.put(VOTER_FIELD, voter);
        }
        unchangedSince.ifPresent(version -> fields.put(UNCHANGED_SINCE_FIELD, version));
    }

    private ResultCode code() {
        if (this instanceof StaleBase) {
            return ResultCode.STALE_BASE;
        } else if (this instanceof NotFound) {
            return ResultCode.NOT_FOUND;
        } else if (this instanceof Invalid) {
            return ResultCode.INVALID;
        } else if (this instanceof NotReady || this instanceof PreconditionRequired) {
            return ResultCode.NOT_READY;
        } else if (this instanceof Undecided || this instanceof Pending) {
            return ResultCode.UNDECIDED;
        }
        return ResultCode.OK;
    }
}
