package spokestall.handoff;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import spokestall.message.ResponseContent;

class ResponseCacheTest {
    private static final int BODY_BYTES = 1024;
    private final ResponseCache cache = new ResponseCache(10 * BODY_BYTES);

    private static HandoffMessage.Store response(final String key, final String digest, final int bodyBytes) {
        return new HandoffMessage.Store(key, digest, new ResponseContent(200, List.of(), new byte[bodyBytes]));
    }

    @Test
    void aResponseIsFoundByItsKeyAndDigestOnly() {
        final HandoffMessage.Store stored = response("pay-1", "d1", BODY_BYTES);
        cache.put(stored);
        assertThat(cache.find("pay-1", "d1")).containsSame(stored);
        assertThat(cache.find("pay-1", "d2")).isEmpty();
        assertThat(cache.find("pay-2", "d1")).isEmpty();
    }

    @Test
    void aLaterResponseReplacesTheEarlierOneOfItsKey() {
        cache.put(response("pay-1", "d1", BODY_BYTES));
        cache.put(response("pay-1", "d2", BODY_BYTES));
        assertThat(cache.find("pay-1", "d1")).isEmpty();
        assertThat(cache.find("pay-1", "d2")).isPresent();
    }

    @Test
    void theCacheIsBoundedByBytes() {
        cache.put(response("too-large", "d", 10 * BODY_BYTES));
        assertThat(cache.find("too-large", "d")).isEmpty();
        for (int i = 0; i < 50; i++) {
            cache.put(response("pay-" + i, "d", BODY_BYTES));
        }
        assertThat(IntStream.range(0, 50)
                        .filter(i -> cache.find("pay-" + i, "d").isPresent())
                        .count())
                .isBetween(1L, 9L);
    }
}
