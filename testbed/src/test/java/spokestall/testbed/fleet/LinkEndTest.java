package spokestall.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** The node at the end of a relayed connection is looked up in the kernel's tables once, on first use. */
class LinkEndTest {
    private static final String SELF = "d1-edge";
    private final LinkConditions links = new LinkConditions(0);

    @Test
    void theNodeIsLookedUpOnFirstUseAndThenCached() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket connection = new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort())) {
            final LinkEnd end = new LinkEnd(links, connection.getLocalPort());
            links.registerProcess(SELF, ProcessHandle.current().pid());
            assertThat(end.node()).isEqualTo(SELF);
            connection.close();
            assertThat(end.node()).as("after the connection has ended").isEqualTo(SELF);
        }
    }

    @Test
    void aConnectionOfNoKnownProcessHasNoNode() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket connection = new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort())) {
            assertThat(new LinkEnd(links, connection.getLocalPort()).node()).isEqualTo("?");
        }
    }

    @Test
    void anyCutReportsWhetherALinkIsCut() {
        assertThat(links.anyCut()).isFalse();
        links.setCut(SELF, "d2-edge", true);
        assertThat(links.anyCut()).isTrue();
        links.setCut(SELF, "d2-edge", false);
        assertThat(links.anyCut()).isFalse();
    }
}
