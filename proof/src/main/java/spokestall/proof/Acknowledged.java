package spokestall.proof;

/** A change of the policy as an operator saw it: its version, when it was sent and when told as accepted. */
record Acknowledged(long version, long sentMs, long toldMs, Phase phase) {}
