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

/** A relay in front of one node's wire address: each way of each wire is as its link is now. */
final class LinkRelay implements AutoCloseable {
    private final ServerSocket server;
    private final int to;
    private final String name;
    private final LinkConditions links;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService late = Executors.newSingleThreadScheduledExecutor(LinkRelay::thread);

    LinkRelay(final int from, final int to, final String name, final LinkConditions links) throws IOException {
        this.server = new ServerSocket(from, 64, InetAddress.getLoopbackAddress());
        this.to = to;
        this.name = name;
        this.links = links;
        thread(this::accept).start();
    }

    private static Thread thread(final Runnable what) {
        final Thread made = new Thread(what, "relay");
        made.setDaemon(true);
        return made;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket in = server.accept();
                thread(() -> carry(in)).start();
            } catch (final IOException e) {
                // The relay was closed.
            }
        }
    }

    private void carry(final Socket in) {
        final LinkEnd peer = new LinkEnd(links, in.getPort());
        final LinkEnd node = new LinkEnd(name);
        try {
            final Socket out = new Socket(InetAddress.getLoopbackAddress(), to);
            out.setTcpNoDelay(true);
            open.add(in);
            open.add(out);
            thread(() -> pump(in, out, peer, node)).start();
            pump(out, in, node, peer);
        } catch (final IOException e) {
            close(in);
        }
    }

    private void pump(final Socket from, final Socket into, final LinkEnd sender, final LinkEnd hearer) {
        final byte[] buffer = new byte[65536];
        long notBeforeMs = 0;
        boolean swallowed = false;
        try (InputStream in = from.getInputStream()) {
            int n = in.read(buffer);
            while (n >= 0) {
                if (links.anyCut() && links.isCut(sender.node(), hearer.node())) {
                    swallowed = true;
                } else if (swallowed) {
                    // What went missing would make nonsense of what comes now.
                    return;
                } else {
                    final byte[] chunk = java.util.Arrays.copyOf(buffer, n);
                    final long nowMs = System.nanoTime() / 1_000_000;
                    notBeforeMs = Math.max(notBeforeMs, nowMs + links.lateMs());
                    final ScheduledFuture<?> unused =
                            late.schedule(() -> write(chunk, into), notBeforeMs - nowMs, TimeUnit.MILLISECONDS);
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
        late.shutdownNow();
    }
}
