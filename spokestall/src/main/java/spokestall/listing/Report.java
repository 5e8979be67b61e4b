package spokestall.listing;

/** One core's newest word on an upstream. A cold one says since when it warms up. */
public record Report(String instance, String by, Status status, long readySinceMs, long stampMs) {}
