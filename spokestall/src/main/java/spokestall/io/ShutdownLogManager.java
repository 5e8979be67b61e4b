package spokestall.io;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down. That of the JDK removes them in a shutdown hook, beside
 * which the node's own runs, so that nothing a graceful shutdown does would be logged. Made by the JDK, once {@link ShutdownLogging}
 * has chosen it.
 */
public final class ShutdownLogManager extends LogManager {
    @Override
    public void reset() {
        // The handlers of the process write to standard error, which needs no closing.
    }
}
