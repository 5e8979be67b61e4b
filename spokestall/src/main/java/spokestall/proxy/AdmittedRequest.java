package spokestall.proxy;

import spokestall.api.ResultCode;
import spokestall.configuration.ServiceLimits;

/**
 * An admitted request, which holds a permit of the concurrency limiter. Its deadline timer starts at admission. The callback
 * given at admission receives its final response, exactly once.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public interface AdmittedRequest {
    /** The limits of the service that the request is sent to. */
    ServiceLimits serviceLimits();

    /** Notified when the complete body has arrived. */
    void onBody(byte[] body);

    /** Notified when the body can't be read; ends the request with the given result. */
    void onBodyFailed(ResultCode reason);

    /** Notified when the client's connection has closed; cancels idempotent attempts and lets run-once requests finish. */
    void onClientDisconnected();

    /** Notified when the response was written or can't be written; releases the bytes held for it. */
    void onResponseWritten();
}
