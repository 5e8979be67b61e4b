package spokestall.message;

/** One header field as it stood on a wire. */
public record Header(String name, String value) {}
