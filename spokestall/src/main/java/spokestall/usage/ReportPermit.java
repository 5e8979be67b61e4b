package spokestall.usage;

import java.util.function.Consumer;

/** Permits the end of a report to be sent, from when on the platform may receive the report. Used on the node's event loop. */
@FunctionalInterface
public interface ReportPermit {
    /**
     * Requests the permit. Called at most once for each report, and not after its result.
     *
     * @param permitted receives once whether the end of the report may be sent
     */
    void request(Consumer<Boolean> permitted);
}
