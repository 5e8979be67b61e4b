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
     * How long a count may lack the acknowledgement of a majority of the cores. All nodes of a soak run share one machine with other
     * programs. At a load average of 40 on 8 processors edges rejected requests (code 2015) with the default of 200 ms, but not with this
     * value.
     */
    private static final Map<String, String> MACHINE_SETTINGS = Map.of("uncountedMs", "2000");

    @Option(name = "--deployment", usage = "padma or verde")
    Deployment deployment = Deployment.PADMA;

    @Option(name = "--seed", usage = "seed that selects the series and the nodes they act on")
    long seed = 1;

    @Option(name = "--seeds", usage = "number of seeds to run, from --seed on")
    int seeds = 1;

    @Option(name = "--seconds", usage = "how long new series start")
    int seconds = 30;

    @Option(name = "--zones", usage = "zones with a core each, 3 to 6")
    int zones = 3;

    @Option(name = "--edges", usage = "edges in each zone")
    int edgesPerZone = 1;

    @Option(name = "--clients", usage = "clients, each with one connection")
    int clients = 16;

    @Option(name = "--lanes", usage = "number of series that run concurrently")
    int lanes = 4;

    @Option(name = "--set", usage = "a setting of all nodes, as key=value; may be given several times")
    List<String> settings = new ArrayList<>();

    @Option(name = "--folder", usage = "folder for settings, data and logs")
    Path folder = Path.of("target", "fleet");

    @Option(name = "--help", help = true, usage = "print this help")
    @SuppressWarnings("UnusedVariable") // args4j needs the option; no code reads the field.
    private boolean help;

    /** Returns the number of nodes and the links between them. */
    FleetLayout layout() {
        return FleetLayout.direct(zones, edgesPerZone);
    }

    /**
     * Returns the nodes' settings in addition to those of every fleet of processes.
     *
     * @throws IllegalArgumentException if an argument isn't of the form {@code key=value}
     */
    public Map<String, String> nodeSettings() {
        final Map<String, String> all = new HashMap<>(MACHINE_SETTINGS);
        all.putAll(SettingArguments.parse(settings));
        return all;
    }

    /** Returns flags with these values and defaults for all others. */
    public static SoakFlags of(final long seed, final int seconds, final Path folder) {
        final SoakFlags flags = new SoakFlags();
        flags.seed = seed;
        flags.seconds = seconds;
        flags.folder = folder;
        return flags;
    }
}
