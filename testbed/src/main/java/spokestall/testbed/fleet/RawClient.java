package spokestall.testbed.fleet;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A client that writes and reads bytes on one connection. Not thread-safe. */
public final class RawClient implements AutoCloseable {
    /** One answer as it came. */
    public record Response(int status, List<String> headers, String body) {
        /** The first header of a name, or null. */
        public String header(final String name) {
            final List<String> all = headerValues(name);
            return all.isEmpty() ? null : all.get(0);
        }

        /** All headers of a name. */
        public List<String> headerValues(final String name) {
            final String start = name.toLowerCase(Locale.ROOT) + ":";
            return headers.stream()
                    .filter(h -> h.toLowerCase(Locale.ROOT).startsWith(start))
                    .map(h -> h.substring(start.length()).trim())
                    .toList();
        }

        /** The numbered result code, or null. */
        public String resultCode() {
            return header("Spokestall-Code");
        }
    }

    private static int requests;
    private final Socket socket;
    private final InputStream in;

    /**
     * Connects.
     *
     * @param to host and port
     * @throws IOException if nobody listens there
     */
    public RawClient(final String to) throws IOException {
        final int colon = to.indexOf(':');
        socket = new Socket(to.substring(0, colon), Integer.parseInt(to.substring(colon + 1)));
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** A request id that no other request of this process has. */
    public static synchronized String nextRequestId() {
        return "raw-" + ++requests;
    }

    /** The head of an ask, without its empty line. */
    public static String head(final String method, final String target, final String key, final String id) {
        return method + " " + target + " HTTP/1.1\r\nHost: edge\r\nSpokestall-Key: " + key + "\r\nSpokestall-Ask-Id: "
                + id + "\r\nSpokestall-Deadline-Ms: 4000\r\n";
    }

    /** Writes characters as bytes. */
    public void send(final String latin1) throws IOException {
        socket.getOutputStream().write(latin1.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next answer; null when the wire ended instead. */
    public Response readResponse(final boolean toHeadRequest) throws IOException {
        final String line = readLine();
        if (line == null) {
            return null;
        }
        final List<String> headers = new ArrayList<>();
        String header = readLine();
        while (header != null && !header.isEmpty()) {
            headers.add(header);
            header = readLine();
        }
        final Response response = new Response(Integer.parseInt(line.split(" ")[1]), headers, "");
        final String length = response.header("Content-Length");
        final boolean withoutBody = toHeadRequest || length == null || response.status == 304 || response.status == 204;
        final byte[] body = withoutBody ? new byte[0] : in.readNBytes(Integer.parseInt(length));
        return new Response(response.status, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    /** The next answer to a request that wasn't HEAD; null when the connection ended instead. */
    public Response readResponse() throws IOException {
        return readResponse(false);
    }

    /** Whether the other side has ended the wire, waited for. */
    boolean isClosedByPeer() throws IOException {
        try {
            return in.read() < 0;
        } catch (final java.net.SocketException reset) {
            return true;
        }
    }

    /** Whether the other side has closed the wire, not reset it, waited for. */
    boolean isClosedWithoutReset() throws IOException {
        return in.read() < 0;
    }

    private String readLine() throws IOException {
        final StringBuilder out = new StringBuilder();
        int one = in.read();
        while (one >= 0 && one != '\n') {
            if (one != '\r') {
                out.append((char) one);
            }
            one = in.read();
        }
        return one < 0 ? null : out.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
