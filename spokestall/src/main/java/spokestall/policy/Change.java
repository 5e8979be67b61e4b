package spokestall.policy;

/** One accepted change: the whole policy anew, or a part as a JSON merge patch. */
public record Change(String changeId, Kind kind, byte[] json) {
    /** Whole or part. */
    public enum Kind {
        PUT,
        PATCH
    }
}
