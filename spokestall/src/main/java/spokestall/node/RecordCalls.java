package spokestall.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import spokestall.api.CallRegistry;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.audit.AuditSink;
import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.message.MessageCodec;
import spokestall.usage.SealedWindow;

/**
 * The calls that read records: the usage of a window, from the cores' registers, and this core's audit log.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class RecordCalls {
    private static final int AUDIT_ENTRIES_DEFAULT = 50;

    private final NodeContext context;
    private final Proposer proposer;
    private final AuditSink audit;

    RecordCalls(final NodeContext context, final Proposer proposer, final AuditSink audit) {
        this.context = context;
        this.proposer = proposer;
        this.audit = audit;
    }

    /** Registers the call that every node answers. */
    void registerUsage(final CallRegistry calls) {
        calls.register("usage.get", this::getUsage);
    }

    /** Registers the call that only cores answer. */
    void registerAudit(final CallRegistry calls) {
        calls.register("audit.get", this::getAudit);
    }

    private void getUsage(final JsonNode params, final Consumer<Reply> done) {
        proposer.read(
                SealedWindow.key(params.get("window").asLong()),
                context.settings().integer("policyBoundMs"),
                outcome -> done.accept(usageReply(outcome)));
    }

    private static Reply usageReply(final ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Committed chosen && chosen.value() != null) {
            final SealedWindow sealed = MessageCodec.decodeRecord(chosen.value(), SealedWindow.class);
            final ObjectNode fields = ConfigurationStore.JSON
                    .createObjectNode()
                    .put("window", sealed.window())
                    .put("completed", sealed.completed())
                    .put("token", sealed.fencingToken());
            final ObjectNode counts = fields.putObject("counts");
            sealed.counts().forEach(counts::put);
            return Reply.of(ResultCode.OK, fields);
        }
        final boolean absent =
                outcome instanceof ProposalOutcome.Committed || outcome instanceof ProposalOutcome.Pruned;
        return Reply.of(absent ? ResultCode.NOT_FOUND : ResultCode.NOT_READY, null);
    }

    private void getAudit(final JsonNode params, final Consumer<Reply> done) {
        final ObjectNode entries = audit.newest(params.path("most").asInt(AUDIT_ENTRIES_DEFAULT));
        done.accept(entries == null ? Reply.of(ResultCode.NOT_FOUND, null) : Reply.of(ResultCode.OK, entries));
    }
}
