package spokestall.ballot;

/** One core's place among the voters: its name, address and the identity of the disk that has its state. */
public record Seat(String name, String address, String diskId) {}
