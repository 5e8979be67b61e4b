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

    private record Idle(ClientConnection connection, long sinceMs, long restMs) {
        boolean rested(final long nowMs, final double share) {
            return nowMs - sinceMs >= restMs * share;
        }
    }

    private static final int PER_PEER = 16;
    private static final int PEERS_MAX = 4096;
    /** A call that must not be sent twice takes no connection that has used up more of its rest: the other end may be
     * closing it. */
    private static final double SHARE_OF_REST_ONCE = 0.5;

    private final Map<Peer, Deque<Idle>> byPeer = new HashMap<>();

    /** The connection kept last that may still be used, or null. */
    synchronized ClientConnection take(final Peer peer, final boolean repeatable, final long nowMs) {
        final Deque<Idle> kept = byPeer.get(peer);
        if (kept == null) {
            return null;
        }
        ClientConnection found = null;
        while (found == null && !kept.isEmpty()) {
            final Idle last = kept.pollLast();
            if (last.connection.isOpen() && !last.rested(nowMs, repeatable ? 1 : SHARE_OF_REST_ONCE)) {
                found = last.connection;
            } else {
                IoUtils.safeClose(last.connection);
            }
        }
        if (kept.isEmpty()) {
            byPeer.remove(peer);
        }
        return found;
    }

    /** Keeps a connection on which nothing is outstanding. */
    synchronized void keep(final Peer peer, final ClientConnection connection, final long restMs, final long nowMs) {
        if (!byPeer.containsKey(peer) && byPeer.size() >= PEERS_MAX) {
            closeRested(nowMs);
        }
        if (!connection.isOpen() || !byPeer.containsKey(peer) && byPeer.size() >= PEERS_MAX) {
            IoUtils.safeClose(connection);
            return;
        }
        final Deque<Idle> kept = byPeer.computeIfAbsent(peer, p -> new ArrayDeque<>());
        kept.addLast(new Idle(connection, nowMs, restMs));
        if (kept.size() > PER_PEER) {
            IoUtils.safeClose(kept.pollFirst().connection);
        }
    }

    /** Forgets a connection that was closed. */
    synchronized void forget(final Peer peer, final ClientConnection connection) {
        final Deque<Idle> kept = byPeer.get(peer);
        if (kept != null && kept.removeIf(i -> i.connection == connection) && kept.isEmpty()) {
            byPeer.remove(peer);
        }
    }

    /** How many peers have a connection here. */
    synchronized int peers() {
        return byPeer.size();
    }

    private void closeRested(final long nowMs) {
        // Closing one comes back here to forget it, so they are taken out first.
        final List<ClientConnection> rested = new ArrayList<>();
        for (final Deque<Idle> kept : byPeer.values()) {
            while (!kept.isEmpty() && kept.peekFirst().rested(nowMs, 1)) {
                rested.add(kept.pollFirst().connection);
            }
        }
        byPeer.values().removeIf(Deque::isEmpty);
        rested.forEach(IoUtils::safeClose);
    }
}
