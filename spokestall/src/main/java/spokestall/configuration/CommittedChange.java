package spokestall.configuration;

/**
 * A change that committed.
 *
 * @param changeId the id of the operator's request
 * @param version the version that the change made
 * @param acceptedMs the fleet's time in the committed change, in milliseconds; 0 if it has none
 */
public record CommittedChange(String changeId, long version, long acceptedMs) {}
