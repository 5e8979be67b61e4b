package spokestall.testbed.verdict;

import spokestall.testbed.scale.Phase;

/** A change of the configuration as an operator saw it: its version, when it was sent and when told as accepted. */
public record AcknowledgedChange(long version, long sentMs, long acknowledgedMs, Phase phase) {}
