package spokestall.configuration;

/**
 * The limits on any client's requests and connections.
 *
 * @param headMaxBytes the size of a request's head
 * @param headTimeoutMs the time from the first byte of a head until the head is complete, in milliseconds
 * @param idleTimeoutMs the time between two requests on a connection, in milliseconds
 */
public record ClientLimits(int headMaxBytes, long headTimeoutMs, long idleTimeoutMs) {}
