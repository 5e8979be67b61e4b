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

/** An upstream made of bytes: it keeps what came as it came, and answers whatever it was told to write. */
public final class RawUpstream implements UpstreamInstance {
    /** One ask as it was on the wire; head ends before the empty line, each wire has a number of its own. */
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

    /** Writes the answer to one ask, byte by byte as it likes. */
    public interface Responder {
        void respond(ReceivedRequest came, Writer out) throws IOException, InterruptedException;
    }

    /** The wire's far side. */
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
    /** Answers before the body has come, as soon as the head is there. */
    public volatile boolean respondBeforeBody;

    public RawUpstream(final Deployment.Place place, final int port) {
        this.place = place;
        this.port = port;
    }

    /** The head of a good answer, without its end; more is put in front of it. */
    public static String identityHeaders(final ReceivedRequest c) {
        return "Spokestall-Ask-Id: " + c.header("Spokestall-Ask-Id") + "\r\nSpokestall-Instance: "
                + c.header("Spokestall-Instance") + "\r\n";
    }

    public static void respondOk(final ReceivedRequest c, final Writer out) throws IOException {
        final String body = "answer to " + c.header("Spokestall-Ask-Id");
        out.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + identityHeaders(c) + "Content-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    /** The next ask that came, or null if none came in time. */
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
        final Thread made = new Thread(task, "raw-upstream");
        made.setDaemon(true);
        made.start();
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
            // The other side went, which is part of what is tried.
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
            final int one = in.read();
            if (one < 0) {
                return null;
            }
            out.append((char) one);
        }
        return out.substring(0, out.length() - 4);
    }
}
