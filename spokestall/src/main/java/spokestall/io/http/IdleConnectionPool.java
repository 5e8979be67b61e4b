package spokestall.io.http;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;

/**
 * Idle connections for reuse, by the peer that they were opened to. Each connection has its own idle timeout, and is removed when it
 * is closed. The number of peers and the number of connections to each peer are limited. Thread-safe.
 */
final class IdleConnectionPool {
    /** The address that a connection was opened to, and the instance that had the address then; an empty instance stands for any. */
    record Peer(String address, String instance) {}

    private record Idle(ClientConnection connection, long sinceMs, long idleTimeoutMs) {
        boolean hasUsedUp(final long nowMs, final double share) {
            return nowMs - sinceMs >= idleTimeoutMs * share;
        }
    }

    private static final int MAX_PER_PEER = 16;
    private static final int MAX_PEERS = 4096;
    /** Calls that aren't idempotent take no connection that has been idle for a larger share of its timeout, because the peer may be
     * closing it. */
    private static final double NON_IDEMPOTENT_IDLE_SHARE = 0.5;

    private final Map<Peer, Deque<Idle>> byPeer = new HashMap<>();

    /**
     * Removes and returns the most recently kept connection that may still be used, or null; closes the unusable ones that it
     * finds.
     */
    synchronized ClientConnection take(final Peer peer, final boolean idempotent, final long nowMs) {
        final Deque<Idle> connections = byPeer.get(peer);
        if (connections == null) {
            return null;
        }
        ClientConnection found = null;
        while (found == null && !connections.isEmpty()) {
            final Idle last = connections.pollLast();
            if (last.connection.isOpen() && !last.hasUsedUp(nowMs, idempotent ? 1 : NON_IDEMPOTENT_IDLE_SHARE)) {
                found = last.connection;
            } else {
                IoUtils.safeClose(last.connection);
            }
        }
        if (connections.isEmpty()) {
            byPeer.remove(peer);
        }
        return found;
    }

    /**
     * Adds a connection that has no exchange in progress. It is closed if the pool has too many peers; if the peer has too many
     * connections, the one that was added first is closed.
     */
    synchronized void keep(
            final Peer peer, final ClientConnection connection, final long idleTimeoutMs, final long nowMs) {
        if (!byPeer.containsKey(peer) && byPeer.size() >= MAX_PEERS) {
            closeExpired(nowMs);
        }
        if (!connection.isOpen() || !byPeer.containsKey(peer) && byPeer.size() >= MAX_PEERS) {
            IoUtils.safeClose(connection);
            return;
        }
        final Deque<Idle> connections = byPeer.computeIfAbsent(peer, p -> new ArrayDeque<>());
        connections.addLast(new Idle(connection, nowMs, idleTimeoutMs));
        if (connections.size() > MAX_PER_PEER) {
            IoUtils.safeClose(connections.pollFirst().connection);
        }
    }

    /** Removes a connection that was closed. */
    synchronized void remove(final Peer peer, final ClientConnection connection) {
        final Deque<Idle> connections = byPeer.get(peer);
        if (connections != null && connections.removeIf(i -> i.connection == connection) && connections.isEmpty()) {
            byPeer.remove(peer);
        }
    }

    /** Returns the number of peers with an idle connection. */
    synchronized int peers() {
        return byPeer.size();
    }

    private void closeExpired(final long nowMs) {
        // Closing a connection calls remove() through its close listener, so all are taken out of the map before any is
        // closed.
        final List<ClientConnection> expired = new ArrayList<>();
        for (final Deque<Idle> connections : byPeer.values()) {
            while (!connections.isEmpty() && connections.peekFirst().hasUsedUp(nowMs, 1)) {
                expired.add(connections.pollFirst().connection);
            }
        }
        byPeer.values().removeIf(Deque::isEmpty);
        expired.forEach(IoUtils::safeClose);
    }
}
