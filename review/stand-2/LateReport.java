import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The machine that reports usage is cut off from the platform as it sends a report, and then freezes; another machine reports; the cut
 * heals, and what it held up arrives while the first machine is still frozen. Argument: the record's file. Exits with 1 if ONE was broken,
 * 0 if it held, 2 if the case couldn't run.
 */
final class LateReport {
    /** The site's longest freeze of the machine that acted last. */
    private static final long FREEZE_MAX_MS = 5500;

    private static final long THAW_MS = 300;
    /** A kernel sends again after pauses that double; so much later than the healing do the bytes arrive. */
    private static final long RESENT_AFTER_MS = 400;

    private LateReport() {}

    /** A machine's link to the platform. While it is cut, it holds what the machine has written, unless the machine resets the connection. */
    private static final class Link {
        private final InetSocketAddress platform;
        private final List<Relay> relays = new ArrayList<>();
        private boolean cutAtReport;
        private boolean cut;

        Link(final String host, final int port, final InetSocketAddress platform) throws IOException {
            this.platform = platform;
            final ServerSocket server = new ServerSocket(port, 64, InetAddress.getByName(host));
            Stand.daemon(() -> {
                while (true) {
                    try {
                        new Relay(server.accept()).begin();
                    } catch (final IOException e) {
                        return;
                    }
                }
            });
        }

        synchronized void cutAtNextReport() {
            cutAtReport = true;
        }

        synchronized boolean isCut() {
            return cut;
        }

        /** New bytes pass again, both ways; what was held up waits until it is sent again. */
        synchronized void heal() {
            cut = false;
            cutAtReport = false;
            notifyAll();
        }

        synchronized void sendAgain() {
            relays.forEach(Relay::flush);
        }

        private final class Relay {
            private final Socket machine;
            private final Socket onward = new Socket();
            private final ByteArrayOutputStream held = new ByteArrayOutputStream();

            Relay(final Socket machine) {
                this.machine = machine;
            }

            void begin() throws IOException {
                machine.setTcpNoDelay(true);
                onward.setTcpNoDelay(true);
                onward.connect(platform);
                synchronized (Link.this) {
                    relays.add(this);
                }
                Stand.daemon(this::toPlatform);
                Stand.daemon(this::toMachine);
            }

            private void toPlatform() {
                final byte[] buffer = new byte[65_536];
                try {
                    final InputStream in = machine.getInputStream();
                    for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                        synchronized (Link.this) {
                            if (cutAtReport && new String(buffer, 0, n, StandardCharsets.ISO_8859_1).startsWith("POST /usage")) {
                                cut = true;
                                cutAtReport = false;
                            }
                            held.write(buffer, 0, n);
                            if (!cut) {
                                flush();
                            }
                        }
                    }
                    synchronized (Link.this) {
                        while (cut) {
                            Link.this.wait();
                        }
                        flush();
                    }
                } catch (final IOException | InterruptedException e) {
                    synchronized (Link.this) {
                        // The machine has reset the connection: what the cut holds up is lost.
                        held.reset();
                    }
                } finally {
                    close();
                }
            }

            private void toMachine() {
                final byte[] buffer = new byte[65_536];
                try {
                    final InputStream in = onward.getInputStream();
                    for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                        synchronized (Link.this) {
                            while (cut) {
                                Link.this.wait();
                            }
                        }
                        machine.getOutputStream().write(buffer, 0, n);
                    }
                } catch (final IOException | InterruptedException e) {
                    close();
                }
            }

            void flush() {
                try {
                    onward.getOutputStream().write(held.toByteArray());
                    held.reset();
                } catch (final IOException e) {
                    close();
                }
            }

            private void close() {
                synchronized (Link.this) {
                    relays.remove(this);
                }
                try {
                    machine.close();
                    onward.close();
                } catch (final IOException e) {
                    // Both are of no use any more.
                }
            }
        }
    }

    public static void main(final String[] args) {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final Map<String, Link> links = new LinkedHashMap<>();
        System.exit(Stand.guarded(() -> {
            try (Stand stand = new Stand(Path.of(args[0])) {
                @Override
                void beforeStart(final Node node) throws IOException {
                    final String host = net + "." + (150 + nodes.indexOf(node));
                    links.put(node.name, new Link(host, port, new InetSocketAddress(net + ".200", port)));
                    node.platformAddress = host + ":" + port;
                }
            }) {
                return play(stand, links, trouble);
            }
        }));
    }

    private static int play(final Stand stand, final Map<String, Link> links, final boolean trouble) throws Exception {
        for (int i = 0; i < 24; i++) {
            stand.addUpstream("transfer-desk", Stand.ZONES[i % 6][0], 3, stand.sound(160, 400));
        }
        final boolean up = stand.start(
                0,
                Stand.configuration(
                        1,
                        List.of(Stand.route("r-status", "/status/", "idempotent", "transfer-desk", 2500)),
                        List.of(Stand.service("transfer-desk")),
                        8));
        if (!up) {
            stand.note("the nodes did not start");
            return 2;
        }
        Stand.daemon(() -> {
            for (int i = 0; true; i++) {
                final int number = i;
                Stand.daemon(() -> stand.call(
                        stand.nodes.get(number % 6).frontend(),
                        "GET",
                        "/status/" + number,
                        stand.clientHeaders(stand.nextId(), Stand.key(number % 8), 2500),
                        null,
                        3000));
                Stand.pause(100);
            }
        });
        if (!await(stand, 20_000, 2, "")) {
            stand.note("no usage is reported");
            return 2;
        }
        if (!trouble) {
            Stand.pause(25_000);
            return judge(stand, "", Long.MAX_VALUE / 2, Long.MAX_VALUE / 2);
        }

        final String holder = last(stand).holder();
        final Stand.Node frozen =
                stand.nodes.stream().filter(n -> n.name.equals(holder)).findFirst().orElseThrow();
        final Link link = links.get(holder);
        link.cutAtNextReport();
        final long cutUntil = stand.nowMs() + 15_000;
        while (!link.isCut() && stand.nowMs() < cutUntil) {
            Stand.pause(5);
        }
        if (!link.isCut()) {
            stand.note("the holder reports no more");
            return 2;
        }
        final long cutAt = stand.nowMs();
        stand.note("%s is cut off from the platform as it sends a report", holder);
        Stand.pause(100);
        frozen.signal("STOP");
        final long frozenAt = stand.nowMs();
        final int before = count(stand);
        final boolean another = await(stand, FREEZE_MAX_MS - RESENT_AFTER_MS - 400, before + 1, holder);
        if (!another) {
            frozen.signal("CONT");
            link.heal();
            link.sendAgain();
            stand.note("no other machine has reported in this time");
            return 2;
        }
        final long healedAt = stand.nowMs();
        link.heal();
        stand.note("the cut heals, %d ms after it began", healedAt - cutAt);
        Stand.pause(RESENT_AFTER_MS);
        stand.note("what the cut has held up is sent again");
        link.sendAgain();
        Stand.pause(300);
        frozen.signal("CONT");
        final long thawedAt = stand.nowMs();
        stand.note("%s runs again, %d ms after it was frozen", holder, thawedAt - frozenAt);
        if (thawedAt - frozenAt > FREEZE_MAX_MS) {
            stand.note("that was too long");
            return 2;
        }
        Stand.pause(8000);
        return judge(stand, holder, healedAt, thawedAt);
    }

    private static Stand.UsageCall last(final Stand stand) {
        synchronized (stand) {
            return stand.usage.get(stand.usage.size() - 1);
        }
    }

    private static int count(final Stand stand) {
        synchronized (stand) {
            return stand.usage.size();
        }
    }

    /** Waits until the platform has so many reports, the last one not by the given machine. */
    private static boolean await(final Stand stand, final long patienceMs, final int reports, final String notBy) {
        final long until = stand.nowMs() + patienceMs;
        while (stand.nowMs() < until) {
            if (count(stand) >= reports && !last(stand).holder().equals(notBy)) {
                return true;
            }
            Stand.pause(5);
        }
        return false;
    }

    /** Rule ONE: no fence below one that the platform has seen, but for what arrives right after a thaw or a healing. */
    private static int judge(final Stand stand, final String troubled, final long healedAt, final long thawedAt) {
        boolean broken = false;
        long highest = Long.MIN_VALUE;
        synchronized (stand) {
            for (final Stand.UsageCall call : stand.usage) {
                final boolean excused = call.holder().equals(troubled)
                        && (within(call.atMs(), healedAt) || within(call.atMs(), thawedAt));
                if (call.fence() < highest && !excused) {
                    stand.note(
                            "at %.3f fence %d by %s arrived after fence %d", call.atMs() / 1000.0, call.fence(), call.holder(), highest);
                    broken = true;
                }
                highest = Math.max(highest, call.fence());
            }
        }
        stand.note("ONE %s", broken ? "is broken" : "holds");
        return broken ? 1 : 0;
    }

    private static boolean within(final long atMs, final long eventMs) {
        return atMs >= eventMs && atMs <= eventMs + THAW_MS;
    }
}
