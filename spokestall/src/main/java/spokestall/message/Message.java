package spokestall.message;

/** A record that one process sends to another. Every kind has a number in the {@link MessageCodec}'s table. */
public interface Message {}
