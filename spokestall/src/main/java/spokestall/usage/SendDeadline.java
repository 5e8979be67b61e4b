package spokestall.usage;

/** Until when a report's bytes may leave this machine; read once the connection is open, on the node's event loop. */
@FunctionalInterface
public interface SendDeadline {
    /** On the monotonic clock, in milliseconds; {@link Long#MIN_VALUE} if they may not leave any more. */
    long latestMs();
}
