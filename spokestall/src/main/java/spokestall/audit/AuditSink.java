package spokestall.audit;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Receives the entries of a core's audit log. Implemented by what stores them; storing never delays a decision.
 *
 * <p>Called on the node's event loop; implementations must not block it.
 */
public interface AuditSink {
    /** Discards all entries. */
    AuditSink NONE = new AuditSink() {
        @Override
        public void append(final String kind, final ObjectNode fields) {
            // Nothing is stored.
        }

        @Override
        public ObjectNode newest(final int limit) {
            return null;
        }
    };

    /** Accepts one entry, which is signed and written later; it is lost if the process ends before. */
    void append(String kind, ObjectNode fields);

    /** Returns at most {@code limit} of the newest entries, and the key to verify them by; null if none are stored. */
    ObjectNode newest(int limit);
}
