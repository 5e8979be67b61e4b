package spokestall.configuration;

/** A service's bounds: sizes of asks and answers, the longest go, and how a cold upstream warms up. */
public record ServiceLimits(
        String name, int requestMaxBytes, int answerMaxBytes, long attemptMs, long warmupMs, double warmPerS) {}
