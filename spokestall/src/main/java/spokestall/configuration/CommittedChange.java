package spokestall.configuration;

/**
 * A committed change.
 *
 * @param changeId the id of the operator's request
 * @param version the version that the change created
 * @param acceptedMs the fleet time recorded in the change, in milliseconds; 0 if it has none
 */
public record CommittedChange(String changeId, long version, long acceptedMs) {}
