package spokestall.usage;

/**
 * What a {@link UsageReporter} reports from.
 *
 * @param table this core's own counts, into which those of the others are merged
 * @param cores whose counts are requested
 * @param edges tells of which edges an earlier incarnation has ended
 * @param floor from when on windows are reported
 */
public record ReportSources(UsageTable table, CoreAddresses cores, CurrentIncarnations edges, ReportFloor floor) {}
