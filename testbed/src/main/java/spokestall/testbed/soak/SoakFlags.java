package spokestall.testbed.soak;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;
import spokestall.testbed.Deployment;
import spokestall.testbed.SettingArguments;
import spokestall.testbed.fleet.FleetLayout;

/** Flags of a soak run. */
public final class SoakFlags {
    /**
     * How long a count may be without a majority of the cores. A soak shares its machine with all of its nodes and whatever else runs
     * there; beside a load of 40 on 8 processors edges refused requests (code 2015) with the default of 200 ms, and none with this.
     */
    private static final Map<String, String> MACHINE_SETTINGS = Map.of("uncountedMs", "2000");

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

    @Option(name = "--set", usage = "a setting of all nodes, as key=value; may be given several times")
    List<String> settings = new ArrayList<>();

    @Option(name = "--folder", usage = "where settings, data and logs go")
    Path folder = Path.of("target", "fleet");

    @Option(name = "--help", help = true, usage = "this page")
    @SuppressWarnings("UnusedVariable") // args4j looks for the option, not at the field.
    private boolean help;

    /** Returns how many nodes there are, and how they reach each other. */
    FleetLayout layout() {
        return FleetLayout.direct(zones, edgesPerZone);
    }

    /** Returns the nodes' settings beside those that every fleet of processes gets; throws if one isn't {@code key=value}. */
    public Map<String, String> nodeSettings() {
        final Map<String, String> all = new HashMap<>(MACHINE_SETTINGS);
        all.putAll(SettingArguments.parse(settings));
        return all;
    }

    /** Returns the flags of one run with the defaults of everything but these. */
    public static SoakFlags of(final long seed, final int seconds, final Path folder) {
        final SoakFlags flags = new SoakFlags();
        flags.seed = seed;
        flags.seconds = seconds;
        flags.folder = folder;
        return flags;
    }
}
