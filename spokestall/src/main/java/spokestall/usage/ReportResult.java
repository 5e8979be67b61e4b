package spokestall.usage;

/** The result of a report to the platform. */
public enum ReportResult {
    /** The platform confirmed the report. */
    ACCEPTED,
    /** The end of the report was not sent: the platform has not received it and never will. */
    NOT_SENT,
    /** The report was rejected, or not answered in time. The platform may have received it, or may receive it later. */
    UNCONFIRMED
}
