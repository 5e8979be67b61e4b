package spokestall.testbed.scale;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.StringArrayOptionHandler;
import spokestall.settings.SettingsReader;
import spokestall.settings.SettingsResult;
import spokestall.testbed.SettingArguments;

/** Flags of a run at scale; what is not given grows in proportion to the size that is aimed at. */
public final class ScaleFlags {
    static final int AIM_NODES = 640;
    static final int AIM_EDGES = 633;
    static final int AIM_UPSTREAMS = 3900;
    static final int AIM_SERVICES = 100;
    static final int AIM_ROUTES = 860;
    static final int AIM_TENANTS = 19_000;
    static final int AIM_RATE = 77_000;

    @Option(name = "--nodes", usage = "how many nodes, 12 to 640")
    int nodes = 12;

    @Option(name = "--cores", usage = "how many of them are cores [6 up to 48 nodes, 7 above]")
    int cores;

    @Option(name = "--regions", usage = "how many regions")
    int regions = 4;

    @Option(name = "--districts", usage = "how many districts")
    int zones = 9;

    @Option(name = "--upstreams", usage = "how many upstreams [3900 at 640 nodes, in proportion]")
    int upstreams;

    @Option(name = "--services", usage = "how many services [100 at 640 nodes]")
    int services;

    @Option(name = "--bindings", usage = "how many bindings [860 at 640 nodes]")
    int routes;

    @Option(name = "--tenants", usage = "how many tenants [19000 at 640 nodes]")
    int tenants;

    @Option(name = "--rate", usage = "asks a second in the whole fleet [77000 at 633 edges]")
    int rate = -1;

    @Option(
            name = "--seconds",
            usage =
                    "virtual time once the fleet is up, four tenths of it without failures or changes [60 at 12 nodes, 8 from 120 on]")
    int seconds;

    @Option(
            name = "--warm",
            usage =
                    "virtual seconds of asks before anything is measured [15 up to 48 nodes, 3 above]: counts are kept for 15")
    int warm = -1;

    @Option(name = "--seed", usage = "the same seed gives the same run and digest")
    long seed = 1;

    @Option(name = "--threads", usage = "nodes whose events of one virtual millisecond run at the same time")
    int threads = 3;

    @Option(name = "--wall", usage = "seconds of real time after which the run is ended, and said to be partial")
    int wall = 300;

    @Option(name = "--real", usage = "real processes beside it, with real asks: an even number up to 12")
    int real;

    @Option(name = "--set", metaVar = "KEY=VALUE", usage = "a setting of every node; may be given several times")
    List<String> set = new ArrayList<>();

    @Option(name = "--out", usage = "where the figures go, a line of JSON each")
    Path out;

    @Option(
            name = "--fit",
            handler = StringArrayOptionHandler.class,
            usage = "no run: lines through the figures of these files")
    List<String> fit;

    @Option(name = "--by", usage = "fit only: what grew: nodes, upstreams, tenants or rate")
    String by = "nodes";

    @Option(name = "--only", usage = "fit only: figures whose names have this in them")
    String only = "";

    @Option(name = "--help", help = true, usage = "this page")
    boolean help;

    /** Fills in what was not given, and throws on what can't be. */
    public void check() {
        within("--nodes", nodes, 12, AIM_NODES);
        cores = cores == 0 ? nodes <= 48 ? 6 : 7 : cores;
        within("--cores", cores, 3, Math.min(63, nodes / 2));
        within("--districts", zones, 1, 99);
        within("--regions", regions, 1, zones);
        upstreams = share(upstreams, AIM_UPSTREAMS, 12);
        services = share(services, AIM_SERVICES, 2);
        tenants = share(tenants, AIM_TENANTS, 8);
        routes = share(routes, AIM_ROUTES, 8);
        rate = rate < 0 ? (int) ((long) AIM_RATE * (nodes - cores) / AIM_EDGES) : rate;
        seconds = seconds == 0 ? Math.max(8, Math.min(60, 960 / nodes)) : seconds;
        within("--upstreams", upstreams, 1, 8000);
        within("--services", services, 1, upstreams);
        within("--tenants", tenants, 1, 100_000);
        within("--bindings", routes, 1, 100_000);
        within("--rate", rate, 0, 200_000);
        within("--seconds", seconds, 1, 3600);
        warm = warm < 0 ? nodes <= 48 ? 15 : 3 : warm;
        within("--warm", warm, 0, 600);
        within("--threads", threads, 1, 64);
        within("--wall", wall, 1, 86_400);
        within("--real", real, 0, 12);
        if (real % 2 != 0) {
            throw new IllegalArgumentException("--real: needs an even number, not " + real);
        }
        checkSettings();
        if (!List.of("nodes", "upstreams", "tenants", "rate").contains(by)) {
            throw new IllegalArgumentException("--by: needs nodes, upstreams, tenants or rate, not " + by);
        }
    }

    /** The settings that were given, by their names. */
    Map<String, String> settings() {
        return SettingArguments.parse(set);
    }

    /** Those that the run gives each node itself can't be given, the others must be what a node would take. */
    private void checkSettings() {
        final Map<String, String> own = new LinkedHashMap<>(Map.of(
                "name",
                "n",
                "address",
                "10.0.0.1:7100",
                "http",
                "10.0.0.1:7200",
                "district",
                "d1",
                "districts",
                "d1=r1",
                "seeds",
                "10.0.0.1:7100,10.0.0.2:7100,10.0.0.3:7100",
                "data",
                "/scale",
                "platform",
                "10.9.0.1:80"));
        final Map<String, String> given = settings();
        given.keySet().stream()
                .filter(key -> own.containsKey(key) || key.equals("cores") || key.equals("edges"))
                .forEach(key -> {
                    throw new IllegalArgumentException("--set: " + key + " is given by the run");
                });
        own.putAll(given);
        if (SettingsReader.read(null, own, true) instanceof SettingsResult.Invalid bad) {
            throw new IllegalArgumentException("--set: " + bad.errors());
        }
    }

    private int share(final int given, final int aim, final int least) {
        return given != 0 ? given : Math.max(least, (int) ((long) aim * nodes / AIM_NODES));
    }

    private static void within(final String flag, final int value, final int least, final int most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(flag + ": " + value + " is not between " + least + " and " + most);
        }
    }
}
