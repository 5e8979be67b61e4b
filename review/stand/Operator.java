import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The operator: sends an order to one node after another until it gets a clear answer. */
final class Operator {
    private final Record record;

    Operator(final Record record) {
        this.record = record;
    }

    /** Sends a call to one address, follows redirects twice. Returns null without an answer within a second. */
    Http.Message call(final String address, final String target, final Map<String, String> fields, final byte[] body) {
        String at = address;
        String path = target;
        for (int redirects = 0; ; redirects++) {
            try (Http http = Http.connect(at, 1000)) {
                final Map<String, String> all = new TreeMap<>(fields);
                all.put("Host", "operator");
                http.send("POST " + path + " HTTP/1.1", all, body);
                final Http.Message answer = http.read();
                record.line("operator " + at + " " + path + " -> " + (answer == null ? "closed" : answer.status()));
                if (answer == null || answer.status() != 307 || redirects == 2) {
                    return answer;
                }
                final String location = answer.field("Location").substring("http://".length());
                at = location.substring(0, location.indexOf('/'));
                path = location.substring(location.indexOf('/'));
            } catch (final IOException e) {
                record.line("operator " + at + " " + path + " -> " + e);
                return null;
            }
        }
    }

    /** Sends an order to the addresses in turn until one acknowledges or refuses it; returns the last status, 0 if none did. */
    int order(
            final List<String> addresses,
            final String target,
            final long base,
            final String body,
            final long patienceMs)
            throws InterruptedException {
        final long untilMs = record.nowMs() + patienceMs;
        for (int i = 0; record.nowMs() < untilMs; i++) {
            final Http.Message answer = call(
                    addresses.get(i % addresses.size()),
                    target,
                    Map.of("Spokestall-Base-Version", Long.toString(base), "Content-Type", "application/json"),
                    body.getBytes());
            if (answer != null
                    && answer.status() < 500
                    && answer.status() != 408
                    && answer.status() != 429
                    && answer.status() != 307) {
                return answer.status();
            }
            Thread.sleep(Math.min(800, 50L << Math.min(i, 4)));
        }
        return 0;
    }
}
