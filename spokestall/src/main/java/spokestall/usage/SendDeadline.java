package spokestall.usage;

/** Supplies the time until which a report may be sent. Read on the node's event loop when the connection is open. */
@FunctionalInterface
public interface SendDeadline {
    /** Returns the deadline in milliseconds of the monotonic clock; {@link Long#MIN_VALUE} if the report must not be sent. */
    long latestMs();
}
