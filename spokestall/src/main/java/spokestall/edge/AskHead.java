package spokestall.edge;

/** What is known of an ask before its body is read; spanMs is what remains until its deadline. */
public record AskHead(String method, String path, String query, String key, String askId, long spanMs,
        long bodyBytes, String contentType) {
}
