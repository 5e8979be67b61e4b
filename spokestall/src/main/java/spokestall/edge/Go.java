package spokestall.edge;

/** One attempt to have an upstream answer an ask. */
public record Go(String askId, String tenant, String instance, String service, String address, String method,
        String target, String contentType, byte[] body, long waitMs, int answerMaxBytes) {
}
