package spokestall.audit;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Storage for the entries of a core's audit log. Storing an entry never delays the decision that it records.
 *
 * <p>Called on the node's event loop; implementations must not block it.
 */
public interface AuditSink {
    /** A sink that discards all entries. */
    AuditSink NONE = new AuditSink() {
        @Override
        public void append(final String kind, final ObjectNode fields) {
            // Discards the entry.
        }

        @Override
        public ObjectNode newest(final int limit) {
            return null;
        }
    };

    /** Queues one entry, which is signed and written later. The entry is lost if the process ends before that. */
    void append(String kind, ObjectNode fields);

    /** Returns up to {@code limit} of the newest entries and the public key that verifies them; null if none are stored. */
    ObjectNode newest(int limit);
}
