package spokestall.io;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down. The JDK's own log manager removes them in a shutdown hook, which
 * runs concurrently with the node's, so a graceful shutdown could not log. The JDK creates this one after {@link ShutdownLogging} has
 * selected it.
 */
public final class ShutdownLogManager extends LogManager {
    @Override
    public void reset() {
        // The handlers of the process write to standard error, which needs no closing.
    }
}
