package spokestall.message;

/** A record that one node sends to another. Each type of message has a number in {@link MessageRegistry}. */
public interface Message {}
