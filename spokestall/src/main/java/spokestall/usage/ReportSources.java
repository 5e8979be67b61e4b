package spokestall.usage;

/**
 * The data sources of a {@link UsageReporter}.
 *
 * @param table this core's counts, into which the counts of the other cores are merged
 * @param cores the cores from which counts are requested
 * @param edges the edges' current incarnations, which identify earlier incarnations that have ended
 * @param floor the time from which windows are reported
 */
public record ReportSources(UsageTable table, CoreAddresses cores, CurrentIncarnations edges, ReportFloor floor) {}
