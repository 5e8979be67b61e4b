package spokestall.proof;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A relay in front of one node's wire address: stands for distance, and for a link that is cut towards that node. */
final class Relay implements AutoCloseable {
    private final ServerSocket server;
    private final int to;
    private final long delayMs;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService late = Executors.newSingleThreadScheduledExecutor(Relay::thread);
    private volatile boolean cut;

    Relay(final int from, final int to, final long delayMs) throws IOException {
        this.server = new ServerSocket(from, 64, InetAddress.getLoopbackAddress());
        this.to = to;
        this.delayMs = delayMs;
        thread(this::accept).start();
    }

    private static Thread thread(final Runnable what) {
        final Thread made = new Thread(what, "relay");
        made.setDaemon(true);
        return made;
    }

    /** From now on nothing gets through, or again. */
    void cut(final boolean now) {
        cut = now;
        open.forEach(Relay::close);
        open.clear();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket in = server.accept();
                if (cut) {
                    close(in);
                    continue;
                }
                final Socket out = reach();
                if (out == null) {
                    close(in);
                    continue;
                }
                out.setTcpNoDelay(true);
                open.add(in);
                open.add(out);
                thread(() -> pump(in, out)).start();
                thread(() -> pump(out, in)).start();
            } catch (final IOException e) {
                // The relay was closed.
                continue;
            }
        }
    }

    private Socket reach() {
        try {
            return new Socket(InetAddress.getLoopbackAddress(), to);
        } catch (final IOException e) {
            return null;
        }
    }

    private void pump(final Socket from, final Socket into) {
        final byte[] buffer = new byte[65536];
        try (InputStream in = from.getInputStream()) {
            int n = in.read(buffer);
            while (n >= 0) {
                final byte[] piece = java.util.Arrays.copyOf(buffer, n);
                late.schedule(() -> write(piece, into), delayMs, TimeUnit.MILLISECONDS);
                n = in.read(buffer);
            }
        } catch (final IOException e) {
            close(from);
        } finally {
            close(into);
            open.remove(from);
            open.remove(into);
        }
    }

    private void write(final byte[] piece, final Socket into) {
        try {
            if (!cut) {
                into.getOutputStream().write(piece);
            }
        } catch (final IOException e) {
            close(into);
        }
    }

    private static void close(final Socket socket) {
        try {
            socket.close();
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        open.forEach(Relay::close);
        late.shutdownNow();
    }
}
