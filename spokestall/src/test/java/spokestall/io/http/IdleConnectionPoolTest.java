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
    private static final long REST_MS = 1000;
    private static final int PER_PEER = 16;
    private static final int PEERS_MAX = 4096;
    private final IdleConnectionPool idle = new IdleConnectionPool();
    private final Peer peer = new Peer("10.0.0.1:80", "i-1");

    /** Knows only whether it is open, and tells the table when it is closed. */
    private ClientConnection connection(final Peer of) {
        final AtomicBoolean open = new AtomicBoolean(true);
        final ClientConnection[] made = new ClientConnection[1];
        made[0] = (ClientConnection) Proxy.newProxyInstance(
                ClientConnection.class.getClassLoader(),
                new Class<?>[] {ClientConnection.class},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("close")) {
                        open.set(false);
                        idle.forget(of, made[0]);
                        return null;
                    }
                    return method.getName().equals("isOpen") ? open.get() : null;
                });
        return made[0];
    }

    private ClientConnection kept(final Peer of, final long nowMs) {
        final ClientConnection made = connection(of);
        idle.keep(of, made, REST_MS, nowMs);
        return made;
    }

    @Test
    void theLastOneKeptIsTakenOnce() {
        kept(peer, 0);
        final ClientConnection last = kept(peer, 1);
        assertThat(idle.take(peer, true, 2)).isSameAs(last);
        assertThat(idle.take(peer, true, 2)).isNotNull().isNotSameAs(last);
        assertThat(idle.take(peer, true, 2)).isNull();
        assertThat(idle.peers()).isZero();
    }

    @Test
    void oneOfAnotherInstanceAtTheAddressIsNotTaken() {
        kept(peer, 0);
        assertThat(idle.take(new Peer(peer.address(), "i-2"), true, 1)).isNull();
    }

    @Test
    void whatRestedTooLongIsClosedAndSoonerForWhatIsSentOnce() {
        final ClientConnection half = kept(peer, 0);
        assertThat(idle.take(peer, false, REST_MS / 2)).isNull();
        assertThat(half.isOpen()).isFalse();
        kept(peer, 0);
        assertThat(idle.take(peer, true, REST_MS / 2)).isNotNull();
        kept(peer, 0);
        assertThat(idle.take(peer, true, REST_MS)).isNull();
        assertThat(idle.peers()).isZero();
    }

    @Test
    void aClosedOneIsForgottenWithItsPeer() throws Exception {
        final ClientConnection closed = kept(peer, 0);
        closed.close();
        assertThat(idle.peers()).isZero();
        idle.keep(peer, closed, REST_MS, 1);
        assertThat(idle.peers()).as("one that is closed is not kept").isZero();
    }

    @Test
    void thereIsABoundForEachPeerAndForPeers() {
        final List<ClientConnection> first = new ArrayList<>();
        for (int i = 0; i <= PER_PEER; i++) {
            first.add(kept(peer, i));
        }
        assertThat(first.get(0).isOpen()).isFalse();
        assertThat(first.get(1).isOpen()).isTrue();
        for (int i = 1; i < PEERS_MAX; i++) {
            kept(new Peer("10.0.0.1:" + i, "i"), i);
        }
        assertThat(idle.peers()).isEqualTo(PEERS_MAX);
        final Peer more = new Peer("10.0.0.2:80", "i");
        assertThat(kept(more, REST_MS / 2).isOpen()).as("no room").isFalse();
        assertThat(kept(more, REST_MS + PER_PEER).isOpen())
                .as("room is made by those that rested")
                .isTrue();
        assertThat(idle.peers()).isLessThan(PEERS_MAX);
    }
}
