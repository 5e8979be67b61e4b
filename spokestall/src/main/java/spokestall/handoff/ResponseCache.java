package spokestall.handoff;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Optional;

/**
 * In-memory cache of responses to idempotent requests, by the key of the request's claim. Bounded by bytes; evicts rarely used
 * entries first.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Evictions run on the caller's thread, so that simulated runs are
 * reproducible.
 */
public final class ResponseCache {
    /** Estimated size of an entry, not counting its key, body and headers. */
    private static final int ENTRY_OVERHEAD_BYTES = 256;
    /** Estimated size of a header, including its name and value. */
    private static final int HEADER_BYTES = 64;

    private final Cache<String, HandoffMessage.Store> responses;

    /** Creates an empty cache that is limited to about {@code maxBytes} bytes. */
    public ResponseCache(final long maxBytes) {
        responses = Caffeine.newBuilder()
                .maximumWeight(maxBytes)
                .executor(Runnable::run)
                .weigher(ResponseCache::weightBytes)
                .build();
    }

    private static int weightBytes(final String key, final HandoffMessage.Store response) {
        return ENTRY_OVERHEAD_BYTES
                + key.length()
                + response.content().body().length
                + HEADER_BYTES * response.content().headers().size();
    }

    /** Stores a response, replacing any other response with the same key. */
    public void put(final HandoffMessage.Store response) {
        responses.put(response.key(), response);
    }

    /** Returns the response with this key, or empty if there is none or its digest differs. */
    public Optional<HandoffMessage.Store> find(final String key, final String digest) {
        return Optional.ofNullable(responses.getIfPresent(key))
                .filter(response -> response.digest().equals(digest));
    }
}
