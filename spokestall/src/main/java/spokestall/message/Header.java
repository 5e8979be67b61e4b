package spokestall.message;

/** One HTTP header field, with its name in the case in which it was received. */
public record Header(String name, String value) {}
