package spokestall.usage;

/** How a report to the platform ended. */
public enum ReportResult {
    /** The platform confirmed it. */
    ACCEPTED,
    /** It was refused, not sent or not answered in time; it may have arrived, or may yet. */
    UNCONFIRMED
}
