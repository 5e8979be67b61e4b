package spokestall.testbed.verdict;

import spokestall.testbed.scale.Phase;

/** A configuration change as its operator saw it: its version, and when it was sent and acknowledged. */
public record AcknowledgedChange(long version, long sentMs, long acknowledgedMs, Phase phase) {}
