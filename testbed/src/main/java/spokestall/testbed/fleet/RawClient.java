package spokestall.testbed.fleet;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** An HTTP client that writes and reads raw bytes on one connection. Not thread-safe. */
public final class RawClient implements AutoCloseable {
    /** One response as received, without decoding. */
    public record Response(int status, List<String> headers, String body) {
        /** Returns the value of the first header with this name, or null. */
        public String header(final String name) {
            final List<String> all = headerValues(name);
            return all.isEmpty() ? null : all.get(0);
        }

        /** Returns the values of all headers with this name. */
        public List<String> headerValues(final String name) {
            final String start = name.toLowerCase(Locale.ROOT) + ":";
            return headers.stream()
                    .filter(h -> h.toLowerCase(Locale.ROOT).startsWith(start))
                    .map(h -> h.substring(start.length()).trim())
                    .toList();
        }

        /** Returns the numbered result code, or null. */
        public String resultCode() {
            return header("Spokestall-Code");
        }
    }

    private static int requests;
    private final Socket socket;
    private final InputStream in;

    /**
     * Connects to a server.
     *
     * @param address host and port
     * @throws IOException if the connection fails
     */
    public RawClient(final String address) throws IOException {
        final int colon = address.indexOf(':');
        socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns a request id that is unique within this process. */
    public static synchronized String nextRequestId() {
        return "raw-" + ++requests;
    }

    /** Returns the head of a request, without the empty line at its end. */
    public static String head(final String method, final String target, final String key, final String id) {
        return method + " " + target + " HTTP/1.1\r\nHost: edge\r\nSpokestall-Key: " + key + "\r\nSpokestall-Ask-Id: "
                + id + "\r\nSpokestall-Deadline-Ms: 4000\r\n";
    }

    /** Writes the characters as ISO 8859-1 bytes. */
    public void send(final String latin1) throws IOException {
        socket.getOutputStream().write(latin1.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads the next response; returns null if the connection ended instead. */
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

    /** Reads the next response to a request other than HEAD; returns null if the connection ended instead. */
    public Response readResponse() throws IOException {
        return readResponse(false);
    }

    /** Waits for the next byte or the end of the connection; returns whether the peer closed or reset the connection. */
    boolean isClosedByPeer() throws IOException {
        try {
            return in.read() < 0;
        } catch (final java.net.SocketException reset) {
            return true;
        }
    }

    /**
     * Waits for the next byte or the end of the connection; returns whether the peer closed the connection.
     *
     * @throws IOException if the peer reset the connection
     */
    boolean isClosedWithoutReset() throws IOException {
        return in.read() < 0;
    }

    private String readLine() throws IOException {
        final StringBuilder out = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                out.append((char) next);
            }
            next = in.read();
        }
        return next < 0 ? null : out.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
