package spokestall.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads JSON documents from operators, peers and the platform, within bounds that hold before a document is worked on. */
final class BoundedJson {
    /** The deepest nesting; code that recurses over a document stays within the smallest thread stack that nodes are run with. */
    static final int MAX_DEPTH = 64;

    private BoundedJson() {}

    /** Returns a mapper that rejects deeper documents, and documents with anything but white space behind them. */
    static ObjectMapper mapper() {
        final StreamReadConstraints constraints =
                StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build();
        final JsonFactory factory =
                JsonFactory.builder().streamReadConstraints(constraints).build();
        return new ObjectMapper(factory).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }
}
