package spokestall.io.http;

/**
 * A request of which all but the last byte has been sent. The peer can't act on it, however late the bytes arrive. Call on the gate's
 * executor; has no effect after the end of the exchange.
 */
public interface HeldRequest {
    /**
     * Sends the last byte, unless the gate's deadline, which is read anew, has passed or less time is left than the connection took to
     * open. The exchange's timeout starts again.
     */
    void release();

    /** Gives the request up: resets its connection, and ends the exchange as not sent. */
    void abandon();
}
