package spokestall.message;

import java.util.List;

/** An upstream's answer as it is passed on: its status, its end-to-end headers in their order, and its whole body. */
public record ResponseContent(int status, List<Header> headers, byte[] body) {}
