package spokestall.wire;

/** A record that one process sends to another. Every kind has a number in the {@link Codec}'s table. */
public interface Note {}
