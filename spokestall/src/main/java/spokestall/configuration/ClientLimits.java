package spokestall.configuration;

/**
 * The limits on each client's requests and connections.
 *
 * @param headMaxBytes the maximum size of a request's head, in bytes
 * @param headTimeoutMs the maximum time from the first byte of a head until the head is complete, in milliseconds
 * @param idleTimeoutMs the maximum time between two requests on a connection, in milliseconds
 */
public record ClientLimits(int headMaxBytes, long headTimeoutMs, long idleTimeoutMs) {}
