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
 * Connections kept between two exchanges, by the peer that they were opened to. Each rests for a time of its own and is
 * forgotten once it is closed. The number of peers and of connections to each is bounded.
 */
final class IdleConnectionPool {
    /** Who answers at the other end: an address, and the instance that had it then; an instance is empty if any will do. */
    record Peer(String address, String instance) {}

    private record Idle(ClientConnection connection, long sinceMs, long idleTimeoutMs) {
        boolean hasUsedUp(final long nowMs, final double share) {
            return nowMs - sinceMs >= idleTimeoutMs * share;
        }
    }

    private static final int MAX_PER_PEER = 16;
    private static final int MAX_PEERS = 4096;
    /** A call that must not be sent twice takes no connection that has used up more of its rest: the other end may be
     * closing it. */
    private static final double NON_IDEMPOTENT_IDLE_SHARE = 0.5;

    private final Map<Peer, Deque<Idle>> byPeer = new HashMap<>();

    /** The connection kept last that may still be used, or null. */
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

    /** Keeps a connection on which nothing is outstanding. */
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

    /** Forgets a connection that was closed. */
    synchronized void remove(final Peer peer, final ClientConnection connection) {
        final Deque<Idle> connections = byPeer.get(peer);
        if (connections != null && connections.removeIf(i -> i.connection == connection) && connections.isEmpty()) {
            byPeer.remove(peer);
        }
    }

    /** How many peers have a connection here. */
    synchronized int peers() {
        return byPeer.size();
    }

    private void closeExpired(final long nowMs) {
        // Closing one comes back here to forget it, so they are taken out first.
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
