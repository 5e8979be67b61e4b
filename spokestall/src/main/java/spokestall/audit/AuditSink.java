package spokestall.audit;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Where a core's decisions are written down, at the rim; it never holds a decision up. */
public interface AuditSink {
    /** Writes nothing down. */
    AuditSink NONE = new AuditSink() {
        @Override
        public void message(final String kind, final ObjectNode what) {
            // Nothing is kept.
        }

        @Override
        public ObjectNode newest(final int most) {
            return null;
        }
    };

    /** Takes one entry, to be signed and written by and by. */
    void message(String kind, ObjectNode what);

    /** The newest entries and the key to check them by, or null if none are kept. */
    ObjectNode newest(int most);
}
