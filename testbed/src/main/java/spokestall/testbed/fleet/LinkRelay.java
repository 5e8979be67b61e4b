package spokestall.testbed.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** A relay in front of one node's peer address. It applies the current link conditions to each direction of each connection. */
final class LinkRelay implements AutoCloseable {
    private final ServerSocket server;
    private final int targetPort;
    private final String name;
    private final LinkConditions links;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService delayedWrites =
            Executors.newSingleThreadScheduledExecutor(LinkRelay::thread);

    LinkRelay(final int listenPort, final int targetPort, final String name, final LinkConditions links)
            throws IOException {
        this.server = new ServerSocket(listenPort, 64, InetAddress.getLoopbackAddress());
        this.targetPort = targetPort;
        this.name = name;
        this.links = links;
        thread(this::accept).start();
    }

    private static Thread thread(final Runnable task) {
        final Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        return thread;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket in = server.accept();
                thread(() -> relay(in)).start();
            } catch (final IOException e) {
                // The relay was closed.
            }
        }
    }

    private void relay(final Socket in) {
        final LinkEnd peer = new LinkEnd(links, in.getPort());
        final LinkEnd node = new LinkEnd(name);
        try {
            final Socket out = new Socket(InetAddress.getLoopbackAddress(), targetPort);
            out.setTcpNoDelay(true);
            open.add(in);
            open.add(out);
            thread(() -> copy(in, out, peer, node)).start();
            copy(out, in, node, peer);
        } catch (final IOException e) {
            close(in);
        }
    }

    private void copy(final Socket from, final Socket into, final LinkEnd sender, final LinkEnd receiver) {
        final byte[] buffer = new byte[65536];
        long notBeforeMs = 0;
        boolean discarded = false;
        try (InputStream in = from.getInputStream()) {
            int n = in.read(buffer);
            while (n >= 0) {
                if (links.anyCut() && links.isCut(sender.node(), receiver.node())) {
                    discarded = true;
                } else if (discarded) {
                    // Bytes are missing from the stream, so the receiver couldn't decode any that follow.
                    return;
                } else {
                    final byte[] chunk = java.util.Arrays.copyOf(buffer, n);
                    final long nowMs = System.nanoTime() / 1_000_000;
                    notBeforeMs = Math.max(notBeforeMs, nowMs + links.nextDelayMs());
                    final ScheduledFuture<?> unused = delayedWrites.schedule(
                            () -> write(chunk, into), notBeforeMs - nowMs, TimeUnit.MILLISECONDS);
                }
                n = in.read(buffer);
            }
        } catch (final IOException e) {
            close(from);
        } finally {
            close(into);
            close(from);
            open.remove(from);
            open.remove(into);
        }
    }

    private static void write(final byte[] chunk, final Socket into) {
        try {
            into.getOutputStream().write(chunk);
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
        open.forEach(LinkRelay::close);
        delayedWrites.shutdownNow();
    }
}
