package spokestall.configuration.change;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.ConfigurationValidator.ValidationError;

/** How a request to change the configuration ended. */
sealed interface ChangeResult {
    /** The reply's field with the address of a voter at which the same change is better requested again. */
    String VOTER_FIELD = "voter";

    /** The change is committed as this version, or this version is as requested. */
    record Committed(long version) implements ChangeResult {}

    /** The request was made against another version than the newest. */
    record StaleBase() implements ChangeResult {}

    /** The request names something that the newest version doesn't have. */
    record NotFound() implements ChangeResult {}

    /** The configuration would be invalid. */
    record Invalid(List<ValidationError> errors) implements ChangeResult {}

    /** Nothing was proposed that could still be committed: the newest version could not be confirmed in time. */
    record NotReady() implements ChangeResult {}

    /** The change may have been committed, or may yet be. */
    record Undecided() implements ChangeResult {}

    /**
     * The change is still being made here; the caller may ask again, and at once at this voter, if one is named.
     *
     * @param voter the address of a core that votes, or empty
     */
    record Pending(String voter) implements ChangeResult {}

    /**
     * Returns the reply to the operator. Its field names are part of the API.
     *
     * @param changeId the request's id
     * @param currentVersion the version applied here, which any reply but that of a commit names
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
        if (this instanceof Pending pending && !pending.voter().isEmpty()) {
            fields.put(VOTER_FIELD, pending.voter());
        }
        return Reply.of(code(), fields);
    }

    private ResultCode code() {
        if (this instanceof StaleBase) {
            return ResultCode.STALE_BASE;
        } else if (this instanceof NotFound) {
            return ResultCode.NOT_FOUND;
        } else if (this instanceof Invalid) {
            return ResultCode.INVALID;
        } else if (this instanceof NotReady) {
            return ResultCode.NOT_READY;
        } else if (this instanceof Undecided || this instanceof Pending) {
            return ResultCode.UNDECIDED;
        }
        return ResultCode.OK;
    }
}
