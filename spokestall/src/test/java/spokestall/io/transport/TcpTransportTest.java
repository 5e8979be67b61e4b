package spokestall.io.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import spokestall.io.Addresses;
import spokestall.message.Message;
import spokestall.message.MessageCodec;
import spokestall.message.MessageRegistry;
import spokestall.testsupport.LoopbackPort;

class TcpTransportTest {
    record Hello(long number, String text) implements Message {}

    @Test
    void reconnectsWhenThePeerAcknowledgesNothing() throws Exception {
        MessageRegistry.register(202, Hello.class);
        final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        final ScheduledExecutorService tick = Executors.newSingleThreadScheduledExecutor();
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(20_000);
            final TcpTransport connections = new TcpTransport(
                    worker, message -> {}, 300, MessageCodec.CURRENT_VERSION, new TrustedNetworks("127.0.0.0/8"));
            final String to = "127.0.0.1:" + server.getLocalPort();
            final ScheduledFuture<?> unused = tick.scheduleAtFixedRate(
                    () -> connections.send(to, new Hello(1, "x")), 0, 20, TimeUnit.MILLISECONDS);
            final Socket deaf = server.accept();
            final Socket again = server.accept();
            assertThat(deaf.isClosed()).isFalse();
            final DataInputStream in = new DataInputStream(again.getInputStream());
            final byte[] frame = new byte[in.readInt()];
            in.readFully(frame);
            assertThat(MessageCodec.decode(frame)).isEqualTo(new Hello(1, "x"));
        } finally {
            tick.shutdownNow();
            worker.shutdownNow();
        }
    }

    @Test
    @SuppressWarnings("AddressSelection") // The IPv6 loopback address itself is needed; no name is looked up.
    void rejectsConnectionsFromUntrustedNetworks() throws Exception {
        assertThat(new TrustedNetworks("10.1.0.0/16,10.2.3.4"))
                .accepts(InetAddress.getByName("10.1.255.9"), InetAddress.getByName("10.2.3.4"))
                .rejects(
                        InetAddress.getByName("10.2.3.5"),
                        InetAddress.getByName("10.0.255.255"),
                        InetAddress.getByName("::1"));
        assertThat(new TrustedNetworks("0.0.0.0/0")).accepts(InetAddress.getByName("200.1.2.3"));
        final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        final LinkedBlockingQueue<Message> heard = new LinkedBlockingQueue<>();
        final int port = LoopbackPort.free();
        final TcpTransport there = new TcpTransport(
                worker, heard::add, 300, MessageCodec.CURRENT_VERSION, new TrustedNetworks("10.0.0.0/8"));
        there.listen(Addresses.of("127.0.0.1:" + port));
        try (Socket stranger = new Socket(InetAddress.getLoopbackAddress(), port)) {
            stranger.setSoTimeout(10_000);
            assertThat(stranger.getInputStream().read())
                    .as("the connection is closed")
                    .isEqualTo(-1);
        }
        assertThat(heard).isEmpty();
        there.close();
        worker.shutdownNow();
    }

    @Test
    void deliversMessagesCompleteAndInOrderOverAnAcknowledgedConnection() throws Exception {
        MessageRegistry.register(202, Hello.class);
        final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2));
        final LinkedBlockingQueue<Message> heard = new LinkedBlockingQueue<>();
        final int port = LoopbackPort.free();
        final TcpTransport there = new TcpTransport(
                worker, heard::add, 300, MessageCodec.CURRENT_VERSION, new TrustedNetworks("127.0.0.0/8"));
        there.listen(Addresses.of("127.0.0.1:" + port));
        final TcpTransport here = new TcpTransport(
                worker, message -> {}, 300, MessageCodec.CURRENT_VERSION, new TrustedNetworks("127.0.0.0/8"));
        for (int i = 0; i < 2000; i++) {
            here.send("127.0.0.1:" + port, new Hello(i, "n".repeat(i % 700)));
        }
        for (int i = 0; i < 2000; i++) {
            assertThat(heard.poll(20, TimeUnit.SECONDS)).isEqualTo(new Hello(i, "n".repeat(i % 700)));
        }
        here.close();
        there.close();
        worker.shutdownNow();
    }

    @Test
    void deliversAMessageThatArrivesInSeveralReads() throws Exception {
        MessageRegistry.register(202, Hello.class);
        final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        final LinkedBlockingQueue<Message> heard = new LinkedBlockingQueue<>();
        final int port = LoopbackPort.free();
        final TcpTransport there = new TcpTransport(
                worker, heard::add, 300, MessageCodec.CURRENT_VERSION, new TrustedNetworks("127.0.0.0/8"));
        there.listen(Addresses.of("127.0.0.1:" + port));
        final Hello large = new Hello(1, "n".repeat(50_000));
        final Hello small = new Hello(2, "x");
        try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
            connection.setSoTimeout(20_000);
            final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (final Hello message : List.of(large, small, large)) {
                final byte[] frame = MessageCodec.encode(message, MessageCodec.CURRENT_VERSION);
                new DataOutputStream(bytes).writeInt(frame.length);
                bytes.write(frame);
            }
            // The acknowledgement byte shows that the receiver has read a piece before the next one is sent.
            final byte[] all = bytes.toByteArray();
            for (int from = 0; from < all.length; from += 8191) {
                connection.getOutputStream().write(all, from, Math.min(8191, all.length - from));
                assertThat(connection.getInputStream().read()).isGreaterThanOrEqualTo(0);
            }
        }
        assertThat(heard.poll(20, TimeUnit.SECONDS)).isEqualTo(large);
        assertThat(heard.poll(20, TimeUnit.SECONDS)).isEqualTo(small);
        assertThat(heard.poll(20, TimeUnit.SECONDS)).isEqualTo(large);
        there.close();
        worker.shutdownNow();
    }
}
