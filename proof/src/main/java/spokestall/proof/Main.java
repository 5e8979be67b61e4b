package spokestall.proof;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import spokestall.rim.LogLine;

/** The proof's own program: a fleet on one machine, and later the simulator's sweeps. */
public final class Main {
    /** Flags of the fleet. */
    static final class FleetFlags {
        @Option(name = "--deployment", usage = "padma or verde")
        private String deployment = "padma";
        @Option(name = "--seconds", usage = "how long demand runs")
        private int seconds = 20;
        @Option(name = "--keep", usage = "no demand: keep the fleet up until Ctrl-C")
        private boolean keep;
        @Option(name = "--folder", usage = "where settings, data and logs go")
        private Path folder = Path.of("target", "fleet");
        @Option(name = "--help", help = true, usage = "this page")
        private boolean help;
    }

    private Main() {
    }

    /** Example: {@code java -cp ... spokestall.proof.Main fleet --deployment padma} */
    public static void main(final String[] args) throws Exception {
        LogLine.install();
        final String what = args.length == 0 ? "" : args[0];
        final String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        final int code = switch (what) {
            case "fleet" -> fleet(rest);
            default -> {
                System.err.println("proof fleet [--help]");
                yield 2;
            }
        };
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }

    private static int fleet(final String[] args) throws Exception {
        final FleetFlags flags = new FleetFlags();
        final CmdLineParser parser = new CmdLineParser(flags);
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException e) {
            System.err.println(e.getMessage());
            return 2;
        }
        if (flags.help) {
            parser.printUsage(System.out);
            return 0;
        }
        final Deployment deployment;
        try {
            deployment = Deployment.valueOf(flags.deployment.toUpperCase(Locale.ROOT));
        } catch (final IllegalArgumentException e) {
            System.err.println("--deployment: padma or verde, not " + flags.deployment);
            return 2;
        }
        try (Fleet fleet = new Fleet(deployment, flags.folder.resolve(flags.deployment), Deployment.DISTRICTS)) {
            fleet.start();
            final long version = fleet.putPolicy();
            fleet.ready(version);
            System.out.println("fleet=up nodes=" + fleet.members().size() + " version=" + version);
            if (flags.keep) {
                fleet.members().forEach((name, m) -> System.out.println("  " + name + " http=" + m.http));
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
                new java.util.concurrent.CountDownLatch(1).await();
            }
            final int verdict = fleet.demand(flags.seconds, 0.99).waitFor();
            System.out.println("upstreams_began=" + fleet.ledger().began().size() + " reports="
                    + fleet.ledger().reported().size());
            final boolean clean = fleet.stopAll();
            System.out.println("stopped=" + (clean ? "clean" : "unclean"));
            return verdict == 0 && clean ? 0 : 1;
        }
    }
}
