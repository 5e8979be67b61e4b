package spokestall.consensus;

/** One core's place among the voters: its name, address and the identity of the disk that has its state. */
public record Voter(String name, String address, String diskId) {}
