package spokestall.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import spokestall.message.MessageCodec;
import spokestall.settings.SettingDefinition.Kind;

/**
 * The table of all settings. Operators rely on the names, defaults and bounds. Help and errors list settings in the table's order.
 * Immutable.
 */
final class SettingDefinitions {
    private static final Map<String, SettingDefinition> DEFINITIONS = Collections.unmodifiableMap(table());

    private SettingDefinitions() {}

    /** Returns every setting by its name. */
    static Map<String, SettingDefinition> all() {
        return DEFINITIONS;
    }

    /** Returns the settings section of the help: one line per setting with its description and default. */
    static String help() {
        final StringBuilder out = new StringBuilder();
        DEFINITIONS.forEach((name, key) ->
                out.append(String.format("  %-17s %s%s%n", name, key.description(), key.defaultForHelp())));
        return out.toString();
    }

    private static Map<String, SettingDefinition> table() {
        final Map<String, SettingDefinition> keys = new LinkedHashMap<>();
        addresses(keys);
        fleetSize(keys);
        switches(keys);
        routing(keys);
        configurationBounds(keys);
        usage(keys);
        leases(keys);
        requests(keys);
        storage(keys);
        threads(keys);
        return keys;
    }

    /** The node's identity and addresses. */
    private static void addresses(final Map<String, SettingDefinition> keys) {
        text(keys, "name", null, "this node's name, unique in the fleet");
        add(keys, "address", null, "IP and port under which other nodes reach this node", Kind.ADDRESS);
        add(
                keys,
                "listen",
                "",
                "IP and port to listen on for other nodes, if different from address (behind a relay)",
                Kind.OPTIONAL_ADDRESS);
        add(keys, "http", null, "IP and port for client requests", Kind.ADDRESS);
        add(
                keys,
                "operators",
                "",
                "IP and port for operators; default: 127.0.0.1 and the port after that of http",
                Kind.OPTIONAL_ADDRESS);
        text(keys, "district", null, "the zone (district) of this node");
        add(keys, "districts", null, "all zones (districts) with their regions, as d1=r1,d2=r1", Kind.ZONES);
        add(
                keys,
                "seeds",
                null,
                "three addresses of other nodes, separated by commas; if cores is 0, one to three, the same on all nodes",
                Kind.ADDRESSES);
        text(keys, "data", "", "the data directory; required for a core");
        add(
                keys,
                "peers",
                "",
                "IP addresses, or networks such as 10.1.0.0/16, from which this node accepts connections of other"
                        + " nodes, separated by commas; default: the /16 network of its own address",
                Kind.NETWORKS);
        add(keys, "platform", null, "IP and port of the platform's API", Kind.ADDRESS);
    }

    /** The fleet's size and the losses that it must tolerate. */
    private static void fleetSize(final Map<String, SettingDefinition> keys) {
        number(
                keys,
                "cores",
                6,
                "number of cores in the fleet; 0: not configured, the seeds agree on the first voters",
                0,
                63);
        number(
                keys,
                "edges",
                6,
                "number of edges in the fleet, among which fleet-wide limits are divided; 0: not configured, all known edges",
                0,
                1024);
        number(keys, "lossCores", 1, "number of cores whose simultaneous loss the fleet tolerates", 0, 31);
        number(
                keys,
                "lossDistricts",
                1,
                "number of zones (districts) whose simultaneous loss the fleet tolerates",
                0,
                31);
        number(keys, "lossRegions", 1, "number of regions whose simultaneous loss the fleet tolerates", 0, 31);
        number(keys, "bootstrap", 0, "1 only at the very first start of a whole fleet with cores 0", 0, 1);
    }

    /** Switches, all of them 0 or 1. */
    private static void switches(final Map<String, SettingDefinition> keys) {
        number(keys, "alsoEdge", 0, "1: a core also serves client requests", 0, 1);
        number(
                keys,
                "keyed",
                1,
                "1: each request must have an API key; 0: requests are routed by host and path, and some routes need no key",
                0,
                1);
        number(
                keys,
                "claims",
                1,
                "1: run-once requests are claimed, since clients may repeat them; 0: clients never repeat one",
                0,
                1);
        number(
                keys,
                "homeEdges",
                1,
                "1: an edge serves only tenants whose home regions include its own; 0: all tenants",
                0,
                1);
        number(
                keys,
                "holdsEdges",
                1,
                "1: edges in an evacuated zone (hold) reject requests; 0: only the zone's upstreams are drained",
                0,
                1);
        number(
                keys,
                "any500",
                0,
                "1: any status of 500 or above fails an attempt of an idempotent request; 0: only 502 and 503",
                0,
                1);
        number(
                keys,
                "unsentFree",
                0,
                "1: an attempt after one that was never sent doesn't count as a retry; 0: each further attempt does",
                0,
                1);
    }

    /** Costs and limits of routing to upstreams. */
    private static void routing(final Map<String, SettingDefinition> keys) {
        number(
                keys,
                "districtCost",
                0,
                "cost of sending a request to another zone (district), in units of one slot's work",
                0,
                100);
        number(
                keys,
                "regionCost",
                100,
                "cost of sending a request to another region, in units of one slot's work",
                0,
                1000);
        number(
                keys,
                "warmSlack",
                0,
                "requests per second that all edges together may send to an upstream in slow start beyond its ramp",
                0,
                1000);
        number(keys, "retryAfterMs", 500, "minimum Retry-After of a rejected request", 1, 60_000);
    }

    /** Maximum durations until changes of configuration, keys and upstreams take effect. */
    private static void configurationBounds(final Map<String, SettingDefinition> keys) {
        number(keys, "keyBoundMs", 5000, "time within which all nodes reject a withdrawn key", 500, 60_000);
        fraction(
                keys,
                "proofMs",
                "keyBoundMs",
                0.08,
                "interval at which a node requests a proof that its policy is the newest",
                10,
                60_000);
        fraction(
                keys,
                "freshMs",
                "keyBoundMs",
                0.2,
                "maximum age of this proof for a node to act on its policy",
                50,
                60_000);
        number(keys, "policyBoundMs", 3500, "time within which an accepted policy is in force", 500, 60_000);
        number(
                keys,
                "leaveBoundMs",
                4000,
                "time within which a leaving upstream or an evacuated zone (hold) is drained",
                500,
                60_000);
    }

    /** Usage windows, request counts and the platform's instance list. */
    private static void usage(final Map<String, SettingDefinition> keys) {
        number(keys, "reportWindowS", 5, "length of a usage window", 1, 3600);
        fraction(
                keys,
                "countPushMs",
                "reportWindowS",
                10,
                "interval at which an edge pushes changed counts to the cores",
                10,
                600_000);
        fraction(
                keys,
                "uncountedMs",
                "reportWindowS",
                40,
                "an edge starts no requests while a count is older than this and not acknowledged by a majority of cores;"
                        + " 0: it continues, and reports may lack its last requests",
                0,
                600_000);
        fraction(
                keys,
                "listMs",
                "leaveBoundMs",
                0.25,
                "interval at which the fleet as a whole reads the platform's instance list",
                50,
                600_000);
        number(
                keys,
                "probes",
                1,
                "1: upstreams are probed; 0: each instance that is listed and not leaving counts as ready",
                0,
                1);
        number(
                keys,
                "reportDueMs",
                10_000,
                "time after the end of a window within which its usage is reported",
                1000,
                600_000);
        number(keys, "dutiesPerS", 2, "maximum rate of usage reports to the platform, per second", 0.1, 1000);
    }

    /** The lease of the usage reporter. */
    private static void leases(final Map<String, SettingDefinition> keys) {
        number(keys, "leaseMs", 2000, "duration of the lease on usage reporting", 200, 600_000);
        number(
                keys,
                "restMs",
                0,
                "how long a former lease holder waits before it acquires the lease from another holder; 0: no wait",
                0,
                600_000);
        number(
                keys,
                "maxRunMs",
                600_000,
                "maximum duration of one lease session, including renewals",
                1000,
                86_400_000);
    }

    /** Requests, retries and buffered bodies. */
    private static void requests(final Map<String, SettingDefinition> keys) {
        number(keys, "farMs", 110, "longest normal round trip between two nodes", 1, 5000);
        number(keys, "claimKeepMs", 600_000, "how long claims of run-once requests are kept", 10_000, 86_400_000);
        number(keys, "retryShare", 0.2, "retries as a ratio of a service's requests", 0, 1);
        number(keys, "retryAllowance", 12, "retries that all edges together may start beyond this ratio", 0, 1000);
        number(keys, "warmRatio", 1.2, "ratio of its ramp that an upstream in slow start receives", 0.1, 1.5);
        number(keys, "askOpenMax", 2000, "maximum number of requests in flight on one edge", 1, 1_000_000);
        number(
                keys,
                "heldMaxBytes",
                128 << 20,
                "maximum bytes of request and response bodies held by one edge",
                1 << 16,
                1L << 40);
        number(keys, "askSpanMaxMs", 30_000, "maximum timeout of a request", 100, 600_000);
        number(keys, "policyMaxBytes", 8 << 20, "maximum size of the policy", 1024, 30 << 20);
    }

    /** A core's log and audit files, and the message version. */
    private static void storage(final Map<String, SettingDefinition> keys) {
        number(keys, "ringSegments", 8, "number of segment files of the log", 6, 1024);
        number(keys, "ringSegmentBytes", 8 << 20, "size of each segment file", 1 << 16, 1 << 30);
        number(
                keys,
                "noteVersion",
                MessageCodec.CURRENT_VERSION,
                "version of the messages that this node sends; the older version during a rolling upgrade",
                MessageCodec.OLDEST_VERSION,
                MessageCodec.CURRENT_VERSION);
        number(
                keys,
                "auditFiles",
                8,
                "number of audit files kept; the oldest is deleted first; 0: no audit log",
                0,
                1000);
        number(keys, "auditFileBytes", 1 << 20, "maximum size of each audit file", 4096, 1 << 30);
    }

    /** Threads and connections. */
    private static void threads(final Map<String, SettingDefinition> keys) {
        number(keys, "workers", 4, "worker threads; 0: an I/O thread does their work too", 0, 256);
        number(keys, "ioThreads", 2, "I/O threads", 1, 64);
        number(
                keys,
                "wireRestMs",
                1000,
                "how long an idle connection to an upstream is reused, if the upstream doesn't specify it",
                1,
                600_000);
        number(keys, "connectMs", 2000, "connect timeout for upstreams", 1, 60_000);
        number(keys, "whereS", 2, "how long clients may use the edges in a reply to the call where", 0.1, 600);
        number(keys, "stopWaitMs", 3000, "how long a graceful shutdown waits for requests in flight", 0, 600_000);
    }

    private static void add(
            final Map<String, SettingDefinition> keys,
            final String name,
            final String fallback,
            final String description,
            final Kind kind) {
        keys.put(name, new SettingDefinition(fallback, description, kind, SettingDefinition.NO_RANGE, null));
    }

    private static void text(
            final Map<String, SettingDefinition> keys,
            final String name,
            final String fallback,
            final String description) {
        add(keys, name, fallback, description, Kind.TEXT);
    }

    private static void number(
            final Map<String, SettingDefinition> keys,
            final String name,
            final double fallback,
            final String description,
            final double min,
            final double max) {
        final String text = fallback == Math.rint(fallback) ? Long.toString((long) fallback) : "" + fallback;
        keys.put(
                name,
                new SettingDefinition(text, description, Kind.NUMBER, new SettingDefinition.Range(min, max), null));
    }

    private static void fraction(
            final Map<String, SettingDefinition> keys,
            final String name,
            final String ofKey,
            final double ratio,
            final String description,
            final double min,
            final double max) {
        final SettingDefinition.Fraction fallback = new SettingDefinition.Fraction(ofKey, ratio);
        keys.put(
                name,
                new SettingDefinition("", description, Kind.NUMBER, new SettingDefinition.Range(min, max), fallback));
    }
}
