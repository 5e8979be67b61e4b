package spokestall.configuration;

/** What any client may send and how long it may take or rest: the size of a request's head, the time from its first byte
 * until it is whole, and the rest between two requests on a connection. */
public record ClientLimits(int headMaxBytes, long headWaitMs, long restMaxMs) {}
