package spokestall.usage;

/** The result of a report to the platform. */
public enum ReportResult {
    /** The platform confirmed the report. */
    ACCEPTED,
    /** The report was rejected, not sent, or not answered in time. The platform may have received it, or may receive it later. */
    UNCONFIRMED
}
