package spokestall.consensus;

/**
 * A voter slot of a voter set. Stored and sent in this order of fields.
 *
 * @param name the name of the core that has the slot
 * @param address where the core receives messages
 * @param diskId the identity of the disk that the core votes with; replies under another identity don't count
 */
public record Voter(String name, String address, String diskId) {}
