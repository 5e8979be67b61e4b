package spokestall.consensus;

/**
 * A voter slot of a voter set. Stored and sent in this order of fields.
 *
 * @param name the name of the core that has the slot
 * @param address the address at which the core receives messages
 * @param diskId the identity of the core's disk; proposers don't count votes from another disk
 */
public record Voter(String name, String address, String diskId) {}
