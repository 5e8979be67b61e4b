package spokestall.testbed.soak;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import spokestall.testbed.Deployment;

/** Flags of a soak run. */
public final class SoakFlags {
    @Option(name = "--deployment", usage = "padma or verde")
    Deployment deployment = Deployment.PADMA;

    @Option(name = "--seed", usage = "which series are played at whom")
    long seed = 1;

    @Option(name = "--seeds", usage = "how many seeds are played, from --seed on")
    int seeds = 1;

    @Option(name = "--seconds", usage = "for how long series are begun")
    int seconds = 30;

    @Option(name = "--zones", usage = "zones with a core each, 3 to 6")
    int zones = 3;

    @Option(name = "--edges", usage = "edges in each zone")
    int edgesPerZone = 1;

    @Option(name = "--clients", usage = "clients, each with one connection")
    int clients = 16;

    @Option(name = "--lanes", usage = "how many series are played at the same time")
    int lanes = 4;

    @Option(name = "--folder", usage = "where settings, data and logs go")
    Path folder = Path.of("target", "fleet");

    @Option(name = "--help", help = true, usage = "this page")
    @SuppressWarnings("UnusedVariable") // args4j looks for the option, not at the field.
    private boolean help;

    /** Returns the flags of one run with the defaults of everything but these. */
    public static SoakFlags of(final long seed, final int seconds, final Path folder) {
        final SoakFlags flags = new SoakFlags();
        flags.seed = seed;
        flags.seconds = seconds;
        flags.folder = folder;
        return flags;
    }
}
