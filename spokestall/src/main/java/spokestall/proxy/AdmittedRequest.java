package spokestall.proxy;

import spokestall.api.ResultCode;
import spokestall.configuration.ServiceLimits;

/**
 * A request that was admitted and holds its permit. From its admission on its deadline runs, and its final response comes by
 * the callback that was given at admission, once. Not thread-safe; all calls are made on the node's event loop.
 */
public interface AdmittedRequest {
    /** The limits of the service that it goes to. */
    ServiceLimits serviceLimits();

    /** The complete body has arrived. */
    void onBody(byte[] body);

    /** The body can't be read; the request ends with this result. */
    void onBodyFailed(ResultCode reason);

    /** The client's connection has closed: what can still be stopped is stopped. */
    void onClientDisconnected();

    /** The response was written, or can't be written: its bytes count no longer. */
    void onResponseWritten();
}
