package spokestall.policy;

import java.util.Map;

/** A whole version with the newest change ids, to start from. */
public record Snapshot(long version, byte[] json, Map<String, Long> changeIds) {}
