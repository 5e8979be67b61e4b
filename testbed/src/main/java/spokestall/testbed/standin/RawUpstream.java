package spokestall.testbed.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import spokestall.testbed.Deployment;

/** An upstream that records requests without decoding them and writes raw responses chosen by the test. */
public final class RawUpstream implements UpstreamInstance {
    /**
     * One request as received.
     *
     * @param connection the number of the connection that carried it
     * @param head the head, without the empty line at its end
     * @param body the body
     */
    public record ReceivedRequest(int connection, String head, String body) {
        public String requestLine() {
            return head.substring(0, head.indexOf("\r\n"));
        }

        public String header(final String name) {
            for (final String line : head.split("\r\n")) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name.toLowerCase(java.util.Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }
    }

    /** Writes the raw response to one request. */
    public interface Responder {
        void respond(ReceivedRequest request, Writer out) throws IOException, InterruptedException;
    }

    /** The connection to the client of this upstream. */
    public interface Writer {
        void write(String latin) throws IOException;

        void close() throws IOException;
    }

    private final Deployment.Place place;
    private final int port;
    private final AtomicInteger connections = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket server;
    public final LinkedBlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
    public volatile Responder responder = RawUpstream::respondOk;
    /** Whether the upstream responds as soon as it has read a request's head, without reading the body. */
    public volatile boolean respondBeforeBody;

    public RawUpstream(final Deployment.Place place, final int port) {
        this.place = place;
        this.port = port;
    }

    /** Returns the header lines that identify a valid response: those of the request id and the instance. */
    public static String identityHeaders(final ReceivedRequest request) {
        return "Spokestall-Ask-Id: " + request.header("Spokestall-Ask-Id") + "\r\nSpokestall-Instance: "
                + request.header("Spokestall-Instance") + "\r\n";
    }

    public static void respondOk(final ReceivedRequest request, final Writer out) throws IOException {
        final String body = "answer to " + request.header("Spokestall-Ask-Id");
        out.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + identityHeaders(request) + "Content-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    /** Returns the next request, or null if none arrives in time. */
    public ReceivedRequest awaitRequest(final long waitMs) throws InterruptedException {
        return received.poll(waitMs, TimeUnit.MILLISECONDS);
    }

    public void reset() {
        responder = RawUpstream::respondOk;
        respondBeforeBody = false;
        received.clear();
    }

    @Override
    public Deployment.Place place() {
        return place;
    }

    @Override
    public String address() {
        return "127.0.0.1:" + port;
    }

    @Override
    public boolean leaving() {
        return false;
    }

    @Override
    public void start() {
        try {
            server = new ServerSocket(port, 512, InetAddress.getLoopbackAddress());
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
        thread(() -> {
            while (!server.isClosed()) {
                try {
                    final Socket connection = server.accept();
                    connection.setTcpNoDelay(true);
                    open.add(connection);
                    thread(() -> serve(connection, connections.incrementAndGet()));
                } catch (final IOException e) {
                    return;
                }
            }
        });
    }

    private static void thread(final Runnable task) {
        final Thread thread = new Thread(task, "raw-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void stop() {
        try {
            server.close();
            for (final Socket connection : open) {
                connection.close();
            }
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void serve(final Socket connection, final int number) {
        try (connection;
                InputStream in = new BufferedInputStream(connection.getInputStream())) {
            final Writer out = new Writer() {
                @Override
                public void write(final String latin) throws IOException {
                    connection.getOutputStream().write(latin.getBytes(StandardCharsets.ISO_8859_1));
                }

                @Override
                public void close() throws IOException {
                    connection.close();
                }
            };
            String head = head(in);
            while (head != null) {
                final ReceivedRequest request = new ReceivedRequest(number, head, "");
                if (request.requestLine().startsWith("GET /spokestall/status ")) {
                    final String body = "{\"instance\":\"" + place.instance() + "\",\"service\":\"" + place.service()
                            + "\",\"leaving\":false,\"readyForMs\":600000}";
                    out.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                } else if (respondBeforeBody) {
                    received.add(request);
                    responder.respond(request, out);
                } else {
                    final String length = request.header("Content-Length");
                    final byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
                    final ReceivedRequest requestWithBody =
                            new ReceivedRequest(number, head, new String(body, StandardCharsets.ISO_8859_1));
                    received.add(requestWithBody);
                    responder.respond(requestWithBody, out);
                }
                head = head(in);
            }
        } catch (final IOException e) {
            // The client closed the connection, which tests do on purpose.
            open.remove(connection);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(connection);
        }
    }

    private static String head(final InputStream in) throws IOException {
        final StringBuilder out = new StringBuilder();
        while (out.length() < 4 || !out.substring(out.length() - 4).equals("\r\n\r\n")) {
            final int next = in.read();
            if (next < 0) {
                return null;
            }
            out.append((char) next);
        }
        return out.substring(0, out.length() - 4);
    }
}
