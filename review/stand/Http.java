import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 connection, used for one request at a time, and the reading of messages for both sides. */
final class Http implements Closeable {
    /** A message: its first line, its fields by name in lower case, its body. */
    record Message(String line, Map<String, String> fields, byte[] body) {
        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String field(final String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    final Socket socket;
    final InputStream in;

    Http(final Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        this.in = new BufferedInputStream(socket.getInputStream(), 1 << 14);
    }

    static Http connect(final String address, final int timeoutMs) throws IOException {
        final int colon = address.lastIndexOf(':');
        final Socket socket = new Socket();
        try {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    1000);
            socket.setSoTimeout(timeoutMs);
            return new Http(socket);
        } catch (final IOException e) {
            socket.close();
            throw e;
        }
    }

    void send(final String line, final Map<String, String> fields, final byte[] body) throws IOException {
        final StringBuilder head = new StringBuilder(line).append("\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        final byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        if (body == null || body.length == 0) {
            socket.getOutputStream().write(start);
        } else if (body.length < 1 << 16) {
            final ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(start);
            all.write(body);
            socket.getOutputStream().write(all.toByteArray());
        } else {
            socket.getOutputStream().write(start);
            socket.getOutputStream().write(body);
        }
    }

    /** Reads a message; null if the connection has ended before one. A body without a length counts as empty. */
    Message read() throws IOException {
        String line;
        do {
            line = readLine();
            if (line == null) {
                return null;
            }
        } while (line.isEmpty());
        final Map<String, String> fields = new TreeMap<>();
        for (String field = readLine(); ; field = readLine()) {
            if (field == null) {
                throw new EOFException("the connection ended in a head");
            }
            if (field.isEmpty()) {
                break;
            }
            final int colon = field.indexOf(':');
            fields.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        final byte[] body;
        if (fields.containsKey("content-length")) {
            body = readBytes(Integer.parseInt(fields.get("content-length")));
        } else if (fields.containsKey("transfer-encoding")) {
            final ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = chunk(); size > 0; size = chunk()) {
                all.write(readBytes(size));
                readLine();
            }
            readLine();
            body = all.toByteArray();
        } else {
            body = new byte[0];
        }
        return new Message(line, fields, body);
    }

    private int chunk() throws IOException {
        final String size = readLine();
        if (size == null) {
            throw new EOFException("the connection ended in a body");
        }
        return Integer.parseInt(size.split(";")[0].trim(), 16);
    }

    private byte[] readBytes(final int length) throws IOException {
        final byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended in a body");
        }
        return bytes;
    }

    private String readLine() throws IOException {
        final StringBuilder line = new StringBuilder();
        while (true) {
            final int c = in.read();
            if (c < 0) {
                return line.length() == 0 ? null : line.toString();
            }
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (final IOException e) {
            // It is closed already.
        }
    }
}
