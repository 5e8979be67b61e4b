package spokestall.rim;

import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * One HTTP exchange to be had. When the wire is open, {@code until} is asked on the gate's thread for the time until
 * which the first bytes may leave, and that is looked at again on the I/O thread right before they do.
 */
public record HttpCall(String address, String method, String target, Map<String, String> headers, byte[] body,
        long waitMs, int answerMaxBytes, boolean freshWire, Executor gate, LongSupplier until) {
    /** No gate: the bytes may leave whenever the wire is open. Example: {@code HttpCall.plain(at, "GET", "/", h, b, 500, 1024)} */
    public static HttpCall plain(final String address, final String method, final String target,
            final Map<String, String> headers, final byte[] body, final long waitMs, final int answerMaxBytes) {
        return new HttpCall(address, method, target, headers, body, waitMs, answerMaxBytes, false, Runnable::run,
                () -> Long.MAX_VALUE);
    }
}
