package spokestall.message;

import java.util.List;

/**
 * An upstream's response as it is forwarded: its status code, its end-to-end headers in their original order, and its
 * complete body.
 */
public record ResponseContent(int status, List<Header> headers, byte[] body) {}
