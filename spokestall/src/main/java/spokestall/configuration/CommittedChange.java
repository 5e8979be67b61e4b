package spokestall.configuration;

/** An order that was accepted: the id it came with, the version it became, and the fleet's time in the agreed change. */
public record CommittedChange(String changeId, long version, long acceptedMs) {}
