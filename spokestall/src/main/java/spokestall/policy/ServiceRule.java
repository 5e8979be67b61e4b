package spokestall.policy;

/** A service's bounds: sizes of asks and answers, the longest go, and how a cold upstream warms up. */
public record ServiceRule(
        String name, int askMaxBytes, int answerMaxBytes, long goMs, long warmupMs, double warmPerS) {}
