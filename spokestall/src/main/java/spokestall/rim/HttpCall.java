package spokestall.rim;

import java.util.Map;
import java.util.function.Supplier;

/** One HTTP exchange to be had. {@code may} is asked when the first bytes are about to leave. */
public record HttpCall(String address, String method, String target, Map<String, String> headers, byte[] body,
        long waitMs, int answerMaxBytes, boolean freshWire, Supplier<Boolean> may) {
}
