package spokestall.io.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.client.ClientConnection;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import spokestall.io.http.IdleConnectionPool.Peer;

class IdleConnectionPoolTest {
    private static final long IDLE_MS = 1000;
    private static final int MAX_PER_PEER = 16;
    private static final int MAX_PEERS = 4096;
    private final IdleConnectionPool pool = new IdleConnectionPool();
    private final Peer peer = new Peer("10.0.0.1:80", "i-1");

    /** Returns a fake connection that can only be open or closed, and that removes itself from the pool when it is closed. */
    private ClientConnection connection(final Peer of) {
        final AtomicBoolean open = new AtomicBoolean(true);
        final ClientConnection[] made = new ClientConnection[1];
        made[0] = (ClientConnection) Proxy.newProxyInstance(
                ClientConnection.class.getClassLoader(),
                new Class<?>[] {ClientConnection.class},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("close")) {
                        open.set(false);
                        pool.remove(of, made[0]);
                        return null;
                    }
                    return method.getName().equals("isOpen") ? open.get() : null;
                });
        return made[0];
    }

    private ClientConnection kept(final Peer of, final long nowMs) {
        final ClientConnection made = connection(of);
        pool.keep(of, made, IDLE_MS, nowMs);
        return made;
    }

    @Test
    void takesTheMostRecentlyKeptConnectionOnce() {
        kept(peer, 0);
        final ClientConnection last = kept(peer, 1);
        assertThat(pool.take(peer, true, 2)).isSameAs(last);
        assertThat(pool.take(peer, true, 2)).isNotNull().isNotSameAs(last);
        assertThat(pool.take(peer, true, 2)).isNull();
        assertThat(pool.peers()).isZero();
    }

    @Test
    void doesNotTakeAConnectionOfAnotherInstanceAtTheSameAddress() {
        kept(peer, 0);
        assertThat(pool.take(new Peer(peer.address(), "i-2"), true, 1)).isNull();
    }

    @Test
    void closesConnectionsIdleForTooLongAndEarlierForNonIdempotentCalls() {
        final ClientConnection half = kept(peer, 0);
        assertThat(pool.take(peer, false, IDLE_MS / 2)).isNull();
        assertThat(half.isOpen()).isFalse();
        kept(peer, 0);
        assertThat(pool.take(peer, true, IDLE_MS / 2)).isNotNull();
        kept(peer, 0);
        assertThat(pool.take(peer, true, IDLE_MS)).isNull();
        assertThat(pool.peers()).isZero();
    }

    @Test
    void removesAClosedConnectionAndItsPeer() throws Exception {
        final ClientConnection closed = kept(peer, 0);
        closed.close();
        assertThat(pool.peers()).isZero();
        pool.keep(peer, closed, IDLE_MS, 1);
        assertThat(pool.peers()).as("a closed connection is not kept").isZero();
    }

    @Test
    void limitsConnectionsPerPeerAndPeers() {
        final List<ClientConnection> first = new ArrayList<>();
        for (int i = 0; i <= MAX_PER_PEER; i++) {
            first.add(kept(peer, i));
        }
        assertThat(first.get(0).isOpen()).isFalse();
        assertThat(first.get(1).isOpen()).isTrue();
        for (int i = 1; i < MAX_PEERS; i++) {
            kept(new Peer("10.0.0.1:" + i, "i"), i);
        }
        assertThat(pool.peers()).isEqualTo(MAX_PEERS);
        final Peer more = new Peer("10.0.0.2:80", "i");
        assertThat(kept(more, IDLE_MS / 2).isOpen()).as("the pool is full").isFalse();
        assertThat(kept(more, IDLE_MS + MAX_PER_PEER).isOpen())
                .as("expired connections make room")
                .isTrue();
        assertThat(pool.peers()).isLessThan(MAX_PEERS);
    }
}
