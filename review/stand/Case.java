import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What all cases share: a fleet in a temporary folder, the platform, upstreams, the operator, and the verdict as the exit code.
 */
abstract class Case {
    // Exit codes of their own, since Java itself ends with 1 after a failure; the scripts turn them into 1, 0 and 2.
    static final int BROKEN = 10;
    static final int HELD = 11;
    static final int NOT_RUN = 12;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    Record record;
    Fleet fleet;
    Platform platform;
    Operator operator;

    /** Runs the case; the arguments are the root of the built tree and the case's folder. */
    final void main(final String[] arguments, final int cores, final int edges) {
        int status = NOT_RUN;
        Path folder = null;
        try {
            final Path root = Path.of(arguments[0]).toAbsolutePath().normalize();
            folder = Files.createTempDirectory("review");
            record = new Record(Path.of(arguments[1], "record.txt"));
            fleet = new Fleet(cores, edges, root, folder);
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
            platform = new Platform(fleet.platformAddress(), record);
            operator = new Operator(record);
            record.line("TROUBLE=" + (trouble ? 1 : 0) + ", " + cores + " machines with a disk, " + edges + " without");
            status = play();
        } catch (final Exception e) {
            e.printStackTrace();
            if (record != null) {
                record.line("the case could not run: " + e);
            }
        }
        if (fleet != null) {
            if (System.getenv("KEEP_LOGS") != null) {
                System.out.println("logs in " + folder);
            }
            fleet.close();
            if (System.getenv("KEEP_LOGS") == null) {
                delete(folder);
            }
        }
        if (record != null) {
            record.line(verdictName(status));
        }
        System.out.println(verdictName(status));
        Runtime.getRuntime().halt(status);
    }

    private static String verdictName(final int status) {
        return status == BROKEN ? "BROKEN" : status == HELD ? "HELD" : "NOT RUN";
    }

    abstract int play() throws Exception;

    private static void delete(final Path folder) {
        try (var paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (final IOException e) {
            // It stays in the system's temporary folder.
        }
    }

    /** Adds upstreams of a service to the platform's list, spread over the zones in use. */
    void addUpstreams(final String service, final int count, final int slots, final long workMs, final int zones)
            throws IOException {
        for (int i = 0; i < count; i++) {
            platform.upstreams.add(new Upstream(
                    "i-" + service + "-" + i,
                    service,
                    Fleet.ZONES[i % zones][0],
                    slots,
                    workMs,
                    fleet.host(251),
                    runs,
                    record));
        }
    }

    /** Starts all machines and sends the first configuration until it is taken. */
    void startWith(final String configuration) throws Exception {
        fleet.startAll();
        final int status =
                operator.order(Config.controls(fleet), "/-/rpc?call=config.replace", 0, configuration, 40_000);
        if (status != 200) {
            throw new IOException("the first configuration was not acknowledged: " + status);
        }
        fleet.endBootstrap();
        Thread.sleep(4000);
    }

    static Map<String, String> head(final String id, final long deadlineMs, final int tenant) {
        final Map<String, String> fields = new TreeMap<>();
        fields.put("Host", Config.HOST);
        fields.put("Spokestall-Attempt-Id", id);
        fields.put("Spokestall-Deadline-Ms", Long.toString(deadlineMs));
        fields.put("Authorization", "Bearer " + Config.key(tenant));
        return fields;
    }

    void verdict(final String text) {
        record.line(text);
        System.out.println(text);
    }

    List<Fleet.Node> nodes() {
        return fleet.nodes;
    }
}
