package spokestall.message;

import java.util.Map;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Leaves the table of message numbers as it was before a test class: other tests in the process have kinds of their own,
 * and rely on no others being there. */
public final class RestoredNumbers implements BeforeAllCallback, AfterAllCallback {
    private Map<Integer, Class<? extends Record>> before = Map.of();

    @Override
    public void beforeAll(final ExtensionContext context) {
        before = MessageCodec.numbered();
    }

    @Override
    public void afterAll(final ExtensionContext context) {
        MessageCodec.restore(before);
    }
}
