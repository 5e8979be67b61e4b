package spokestall.message;

import java.util.Map;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Restores the registry of message numbers after a test class: other tests in the process register types of their own and rely
 * on no others being there.
 */
public final class RestoreMessageNumbersExtension implements BeforeAllCallback, AfterAllCallback {
    private Map<Integer, Class<? extends Record>> before = Map.of();

    @Override
    public void beforeAll(final ExtensionContext context) {
        before = MessageRegistry.copy();
    }

    @Override
    public void afterAll(final ExtensionContext context) {
        MessageRegistry.restore(before);
    }
}
