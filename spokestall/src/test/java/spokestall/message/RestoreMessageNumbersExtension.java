package spokestall.message;

import java.util.Map;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Restores the registry of message numbers after a test class, because other tests in the same process register types
 * of their own and require that no others are registered.
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
