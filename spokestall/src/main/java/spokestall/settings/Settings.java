package spokestall.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import spokestall.message.MessageCodec;

/**
 * A node's settings: defaults, then the file, then flags. Spans inside the code are ratios to the bounds given here.
 */
public final class Settings {
    /** One thing wrong with the settings. */
    public record ValidationError(String key, String reason) {
        @Override
        public String toString() {
            return key + ": " + reason;
        }
    }

    /** Either settings that may be used, or all that is wrong with them. */
    public sealed interface Read {
        /** Usable settings. */
        record Good(Settings settings) implements Read {}

        /** Every trouble found. */
        record Bad(List<ValidationError> errors) implements Read {}
    }

    /** A number that isn't given is a part of another, if there is one. */
    private record Key(String fallback, String what, Kind kind, double least, double most, String of, double part) {}

    private enum Kind {
        TEXT,
        NUMBER,
        ADDRESS,
        MAYBE_ADDRESS,
        ADDRESSES,
        DISTRICTS,
        NETS
    }

    private static final Map<String, Key> KEYS = new LinkedHashMap<>();
    private static final ObjectMapper JSON = new ObjectMapper();

    static {
        text("name", null, "this node's name, unique in the fleet");
        add("address", null, "IP and port that other nodes reach", Kind.ADDRESS, 0, 0);
        add(
                "listen",
                "",
                "IP and port to listen on, where it isn't address (behind a relay)",
                Kind.MAYBE_ADDRESS,
                0,
                0);
        add("http", null, "IP and port that callers reach", Kind.ADDRESS, 0, 0);
        add(
                "operators",
                "",
                "IP and port that operators reach; if not given, 127.0.0.1 and the port after http's",
                Kind.MAYBE_ADDRESS,
                0,
                0);
        text("district", null, "the district this node is in");
        add("districts", null, "all districts with their regions, as d1=r1,d2=r1", Kind.DISTRICTS, 0, 0);
        add(
                "seeds",
                null,
                "three addresses of other nodes, comma between; one to three, the same everywhere, if cores is 0",
                Kind.ADDRESSES,
                0,
                0);
        text("data", "", "the data folder; needed by a core");
        add(
                "peers",
                "",
                "IP numbers, or networks such as 10.1.0.0/16, whose wires this node takes, comma between; if not"
                        + " given, the /16 of its own address",
                Kind.NETS,
                0,
                0);
        add("platform", null, "IP and port of the platform", Kind.ADDRESS, 0, 0);
        number("cores", 6, "cores in the fleet; 0: not told, the first ones are those that the seeds agree on", 0, 63);
        number(
                "edges",
                6,
                "edges in the fleet, by which shared bounds are divided; 0: not told, by those that are known",
                0,
                1024);
        number("lossCores", 1, "cores that may be lost at once", 0, 31);
        number("lossDistricts", 1, "districts that may be lost at once", 0, 31);
        number("lossRegions", 1, "regions that may be lost at once", 0, 31);
        number("bootstrap", 0, "1 only at the very first start of a whole fleet that was not told its cores", 0, 1);
        number("alsoEdge", 0, "1: a core answers callers too", 0, 1);
        number("keyed", 1, "1: an ask is looked up by its key; 0: by its host and path, and some need no key", 0, 1);
        number(
                "claims",
                1,
                "1: a run-once ask may come twice and is claimed; 0: its callers never send one twice",
                0,
                1);
        number("homeEdges", 1, "1: an edge takes asks only of tenants at home in its region", 0, 1);
        number("holdsEdges", 1, "1: edges of a held district take no asks; 0: a hold empties its upstreams only", 0, 1);
        number(
                "any500",
                0,
                "1: any answer of 500 or above to what may be repeated is trouble; 0: 502 and 503 only",
                0,
                1);
        number(
                "unsentFree",
                0,
                "1: a further go after one that was never sent is no retry and isn't counted; 0: each further go is one",
                0,
                1);
        number(
                "districtCost",
                0,
                "what it costs to send an ask to another district, in parts of a slot's work",
                0,
                100);
        number("regionCost", 100, "the same to another region", 0, 1000);
        number(
                "warmSlack",
                0,
                "what all edges together may send to a cold upstream each second beside its ramp",
                0,
                1000);
        number("retryAfterMs", 500, "when a denied caller is told to come back, at the least", 1, 60_000);
        number("keyBoundMs", 5000, "a withdrawn key must stop within this", 500, 60_000);
        part(
                "proofMs",
                "keyBoundMs",
                0.08,
                "how often a node asks for its proof that its policy is the newest",
                10,
                60_000);
        part("freshMs", "keyBoundMs", 0.2, "how old that proof may be to act on", 50, 60_000);
        number("policyBoundMs", 3500, "an accepted policy must be in force within this", 500, 60_000);
        number("leaveBoundMs", 4000, "a leaving upstream or held district must be empty within this", 500, 60_000);
        number("reportWindowS", 5, "length of a usage window", 1, 3600);
        part("countPushMs", "reportWindowS", 10, "how often an edge pushes counts that changed", 10, 600_000);
        part(
                "uncountedMs",
                "reportWindowS",
                40,
                "an edge begins nothing more while a count is older and not with a majority;"
                        + " 0: it goes on, and what it began last may be missing in a report",
                0,
                600_000);
        part("listMs", "leaveBoundMs", 0.25, "how often the fleet as a whole reads the platform's list", 50, 600_000);
        number("probes", 1, "0: no upstream is probed, what is listed and not leaving counts as ready", 0, 1);
        number("reportDueMs", 10_000, "a window's counts must be in within this after its end", 1000, 600_000);
        number("dutiesPerS", 2, "calls a second that the platform takes for duties", 0.1, 1000);
        number("leaseMs", 2000, "the lease on a duty", 200, 600_000);
        number("restMs", 0, "how long a node that held a duty waits before it follows another holder", 0, 600_000);
        number("maxRunMs", 600_000, "the longest one acquisition may work", 1000, 86_400_000);
        number("farMs", 110, "the longest round trip between two nodes that is not trouble", 1, 5000);
        number("claimKeepMs", 600_000, "how long run-once claims are kept", 10_000, 86_400_000);
        number("retryShare", 0.2, "retries as a share of a service's asks", 0, 1);
        number("retryAllowance", 12, "retries the whole fleet may begin beyond that share", 0, 1000);
        number("warmRatio", 1.2, "what a cold upstream gets, over its ramp", 0.1, 1.5);
        number("askOpenMax", 2000, "asks in flight at one edge", 1, 1_000_000);
        number("heldMaxBytes", 128 << 20, "bytes of asks' and answers' bodies held at one edge", 1 << 16, 1L << 40);
        number("askSpanMaxMs", 30_000, "the longest an ask may take", 100, 600_000);
        number("policyMaxBytes", 8 << 20, "the largest policy", 1024, 30 << 20);
        number("ringSegments", 8, "files in the ring", 6, 1024);
        number("ringSegmentBytes", 8 << 20, "size of each", 1 << 16, 1 << 30);
        number(
                "noteVersion",
                MessageCodec.CURRENT_VERSION,
                "version of the notes this node sends; the older one while an upgrade is under way",
                MessageCodec.OLDEST_VERSION,
                MessageCodec.CURRENT_VERSION);
        number("auditFiles", 8, "audit files kept, the oldest going first; 0: no audit is written", 0, 1000);
        number("auditFileBytes", 1 << 20, "size of each", 4096, 1 << 30);
        number("workers", 4, "worker threads; 0: the thread that reads and writes wires does their work too", 0, 256);
        number("ioThreads", 2, "threads that read and write wires", 1, 64);
        number(
                "wireRestMs",
                1000,
                "how long a wire to an upstream may rest and be used again, where the upstream does not say",
                1,
                600_000);
        number("connectMs", 2000, "how long opening a wire to an upstream may take", 1, 60_000);
        number("whereS", 2, "how long callers may use the edges they were told", 0.1, 600);
        number("stopWaitMs", 3000, "how long a clean stop lets go what is in flight", 0, 600_000);
    }

    private final Map<String, String> values;

    private Settings(final Map<String, String> values) {
        this.values = values;
    }

    private static void add(
            final String key,
            final String fallback,
            final String what,
            final Kind kind,
            final double least,
            final double most) {
        KEYS.put(key, new Key(fallback, what, kind, least, most, null, 0));
    }

    private static void text(final String key, final String fallback, final String what) {
        add(key, fallback, what, Kind.TEXT, 0, 0);
    }

    private static void number(
            final String key, final double fallback, final String what, final double least, final double most) {
        final String text = fallback == Math.rint(fallback) ? Long.toString((long) fallback) : "" + fallback;
        add(key, text, what, Kind.NUMBER, least, most);
    }

    private static void part(
            final String key,
            final String of,
            final double part,
            final String what,
            final double least,
            final double most) {
        KEYS.put(key, new Key("", what, Kind.NUMBER, least, most, of, part));
    }

    /** The settings page of the help. */
    public static String help() {
        final StringBuilder out = new StringBuilder();
        KEYS.forEach((key, k) -> out.append(String.format(
                "  %-17s %s%s%n",
                key,
                k.what,
                k.fallback == null
                        ? " (must be given)"
                        : k.of != null
                                ? " [" + k.part + " x " + k.of + "]"
                                : k.fallback.isEmpty() ? "" : " [" + k.fallback + "]")));
        return out.toString();
    }

    /** Reads a file and flags, which win over it. */
    public static Read read(final Path file, final Map<String, String> flags, final boolean core) {
        final List<ValidationError> errors = new ArrayList<>();
        final Map<String, String> values = new TreeMap<>();
        KEYS.forEach((key, k) -> values.put(key, k.fallback));
        if (file != null) {
            readFile(file, values, errors);
        }
        flags.forEach((key, value) -> put(key, value, values, errors));
        KEYS.forEach((key, k) -> check(key, k, values.get(key), errors));
        final int seeds = values.get("seeds") == null ? 3 : values.get("seeds").split(",", -1).length;
        if (seeds != 3 && !(seeds < 3 && "0".equals(values.get("cores")))) {
            errors.add(new ValidationError("seeds", "needs three addresses, has " + seeds));
        }
        if (errors.isEmpty()) {
            checkTogether(values, core, errors);
        }
        return errors.isEmpty() ? new Read.Good(new Settings(values)) : new Read.Bad(errors);
    }

    private static void readFile(
            final Path file, final Map<String, String> values, final List<ValidationError> errors) {
        try {
            final JsonNode tree = JSON.readTree(Files.readAllBytes(file));
            if (tree == null || !tree.isObject()) {
                errors.add(new ValidationError("settings", file + " is not a JSON object"));
                return;
            }
            tree.fields().forEachRemaining(e -> {
                if (e.getValue().isContainerNode()) {
                    errors.add(new ValidationError(e.getKey(), "must be a text or a number"));
                } else {
                    put(e.getKey(), e.getValue().asText(), values, errors);
                }
            });
        } catch (final IOException e) {
            errors.add(new ValidationError(
                    "settings",
                    "can't read " + file + " as JSON: " + e.getMessage().split("\n")[0]));
        }
    }

    private static void put(
            final String key,
            final String value,
            final Map<String, String> values,
            final List<ValidationError> errors) {
        if (KEYS.containsKey(key)) {
            values.put(key, value);
        } else {
            errors.add(new ValidationError(key, "no such setting"));
        }
    }

    private static void check(final String key, final Key k, final String value, final List<ValidationError> errors) {
        if (value == null) {
            errors.add(new ValidationError(key, "must be given: " + k.what));
            return;
        }
        switch (k.kind) {
            case NUMBER -> {
                if (k.of != null && value.isEmpty()) {
                    return;
                }
                try {
                    final double n = Double.parseDouble(value);
                    if (!(n >= k.least && n <= k.most)) {
                        errors.add(new ValidationError(key, value + " is not between " + k.least + " and " + k.most));
                    }
                } catch (final NumberFormatException e) {
                    errors.add(new ValidationError(key, "'" + value + "' is not a number"));
                }
            }
            case ADDRESS -> address(key, value, errors);
            case MAYBE_ADDRESS -> {
                if (!value.isEmpty()) {
                    address(key, value, errors);
                }
            }
            case ADDRESSES -> {
                final String[] all = value.split(",", -1);
                for (final String one : all) {
                    address(key, one, errors);
                }
            }
            case NETS -> {
                for (final String one : value.isEmpty() ? new String[0] : value.split(",", -1)) {
                    final String[] parts = one.split("/", -1);
                    address(key, parts[0] + ":1", errors);
                    if (parts.length > 2 || parts.length == 2 && !parts[1].matches("[12]?\\d|3[0-2]")) {
                        errors.add(new ValidationError(
                                key, "'" + one + "' is not an IP number or a network like 10.1.0.0/16"));
                    }
                }
            }
            case DISTRICTS -> {
                if (!value.matches("[^=,]+=[^=,]+(,[^=,]+=[^=,]+)*")) {
                    errors.add(new ValidationError(key, "'" + value + "' is not of the form d1=r1,d2=r1"));
                }
            }
            default -> {
                if (key.equals("name") && !value.matches("[A-Za-z0-9._-]{1,64}")) {
                    errors.add(new ValidationError(key, "'" + value + "' has other than letters, digits, . _ -"));
                }
            }
        }
    }

    private static void address(final String key, final String value, final List<ValidationError> errors) {
        final boolean four = value.matches("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}");
        boolean good = four;
        if (four) {
            for (final String part : value.substring(0, value.indexOf(':')).split("\\.")) {
                good &= Integer.parseInt(part) < 256;
            }
            final int port = Integer.parseInt(value.substring(value.indexOf(':') + 1));
            good &= port > 0 && port < 65536;
        }
        if (!good) {
            errors.add(new ValidationError(key, "'" + value + "' is not an IP number and port like 10.0.0.1:7100"));
        }
    }

    private static void checkTogether(
            final Map<String, String> values, final boolean core, final List<ValidationError> errors) {
        final Settings s = new Settings(values);
        if (!s.zones().containsKey(s.text("district"))) {
            errors.add(new ValidationError("district", "'" + s.text("district") + "' is not among districts"));
        }
        if (core && s.text("data").isEmpty()) {
            errors.add(new ValidationError("data", "a core needs a data folder"));
        }
        if (s.seeds().stream().distinct().count() != s.seeds().size()) {
            errors.add(new ValidationError("seeds", "names an address twice"));
        }
        if (s.ms("bootstrap") == 1 && s.ms("cores") != 0) {
            errors.add(new ValidationError("bootstrap", "is for a fleet with cores 0 only"));
        }
        if (s.text("address").equals(s.text("http"))) {
            errors.add(new ValidationError("http", "is the same as address"));
        }
        address("operators", s.operators(), errors);
        if (s.operators().equals(s.text("http"))
                || s.operators().equals(s.text("address"))
                || s.operators().equals(s.listen())) {
            errors.add(new ValidationError("operators", s.operators() + " is an address of this node for others"));
        }
        if (s.ms("freshMs") < 2 * s.ms("proofMs")) {
            errors.add(
                    new ValidationError("freshMs", "must be at least 2 x proofMs, for a proof to be renewed in time"));
        }
        if (s.ms("freshMs") + s.ms("farMs") >= s.ms("keyBoundMs")) {
            errors.add(new ValidationError(
                    "freshMs", "must be under keyBoundMs less farMs, for a withdrawn key to stop in time"));
        }
        if (s.ms("uncountedMs") > 0 && s.ms("uncountedMs") < 2 * s.ms("countPushMs")) {
            errors.add(new ValidationError(
                    "uncountedMs", "must be 0 or at least 2 x countPushMs, for counts to be with a majority in time"));
        }
        if (s.ms("leaseMs") < 8 * s.ms("farMs")) {
            errors.add(new ValidationError("leaseMs", "must be at least 8 x farMs, to be renewed in time"));
        }
        if (s.ms("reportDueMs") < 3 * s.ms("leaseMs")) {
            errors.add(new ValidationError("reportDueMs", "must be at least 3 x leaseMs, for a takeover to fit in"));
        }
    }

    /** Every key with its value as given, or its fallback. */
    Map<String, String> values() {
        return values;
    }

    /** A text. */
    public String text(final String key) {
        return values.get(key);
    }

    /** A span or count. */
    public long ms(final String key) {
        return (long) number(key);
    }

    /** A number. */
    public double number(final String key) {
        final String value = values.get(key);
        final Key k = KEYS.get(key);
        return value.isEmpty() && k.of != null ? Math.rint(k.part * number(k.of)) : Double.parseDouble(value);
    }

    /** A share of a span. */
    public long part(final String key, final double ratio) {
        return Math.max(1, Math.round(number(key) * ratio));
    }

    /** How long a core or an edge counts as there without being heard. */
    public long heardMs() {
        return Math.max(part("leaveBoundMs", 0.3), 3 * ms("proofMs"));
    }

    /** Where to listen for other nodes. */
    public String listen() {
        return text("listen").isEmpty() ? text("address") : text("listen");
    }

    /** Where operators' calls come in, away from clients. */
    public String operators() {
        final String http = text("http");
        return text("operators").isEmpty()
                ? "127.0.0.1:" + (Integer.parseInt(http.substring(http.indexOf(':') + 1)) + 1)
                : text("operators");
    }

    /** Whose wires are taken. */
    public String peers() {
        final String own = text("address");
        return text("peers").isEmpty() ? own.substring(0, own.indexOf(':')) + "/16" : text("peers");
    }

    /** The seeds. */
    public List<String> seeds() {
        return List.of(text("seeds").split(","));
    }

    /** Every zone with its region. */
    public Map<String, String> zones() {
        final Map<String, String> found = new TreeMap<>();
        for (final String one : text("districts").split(",")) {
            found.put(one.substring(0, one.indexOf('=')), one.substring(one.indexOf('=') + 1));
        }
        return found;
    }

    /** The platform's own place, beside its address. */
    public String region(final String zone) {
        return zones().get(zone);
    }

    /** Every region. */
    public Set<String> regions() {
        return new TreeSet<>(zones().values());
    }

    /** This node's region. */
    public String region() {
        return zones().get(text("district"));
    }
}
