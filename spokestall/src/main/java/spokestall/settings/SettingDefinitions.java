package spokestall.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import spokestall.message.MessageCodec;
import spokestall.settings.SettingDefinition.Kind;

/**
 * The table of all settings. Names, defaults and bounds are part of what operators write; the order is that of the help page and
 * of errors. Immutable.
 */
final class SettingDefinitions {
    private static final Map<String, SettingDefinition> DEFINITIONS = Collections.unmodifiableMap(table());

    private SettingDefinitions() {}

    /** Returns every setting by its name. */
    static Map<String, SettingDefinition> all() {
        return DEFINITIONS;
    }

    /** Returns the settings page of the help: a line for each setting with its description and default. */
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

    /** Who the node is and where it is reached. */
    private static void addresses(final Map<String, SettingDefinition> keys) {
        text(keys, "name", null, "this node's name, unique in the fleet");
        add(keys, "address", null, "IP and port that other nodes reach", Kind.ADDRESS);
        add(
                keys,
                "listen",
                "",
                "IP and port to listen on, where it isn't address (behind a relay)",
                Kind.OPTIONAL_ADDRESS);
        add(keys, "http", null, "IP and port that callers reach", Kind.ADDRESS);
        add(
                keys,
                "operators",
                "",
                "IP and port that operators reach; if not given, 127.0.0.1 and the port after http's",
                Kind.OPTIONAL_ADDRESS);
        text(keys, "district", null, "the district this node is in");
        add(keys, "districts", null, "all districts with their regions, as d1=r1,d2=r1", Kind.ZONES);
        add(
                keys,
                "seeds",
                null,
                "three addresses of other nodes, comma between; one to three, the same everywhere, if cores is 0",
                Kind.ADDRESSES);
        text(keys, "data", "", "the data folder; needed by a core");
        add(
                keys,
                "peers",
                "",
                "IP numbers, or networks such as 10.1.0.0/16, whose wires this node takes, comma between; if not"
                        + " given, the /16 of its own address",
                Kind.NETWORKS);
        add(keys, "platform", null, "IP and port of the platform", Kind.ADDRESS);
    }

    /** The fleet's size, and the losses that it has to survive. */
    private static void fleetSize(final Map<String, SettingDefinition> keys) {
        number(
                keys,
                "cores",
                6,
                "cores in the fleet; 0: not told, the first ones are those that the seeds agree on",
                0,
                63);
        number(
                keys,
                "edges",
                6,
                "edges in the fleet, by which shared bounds are divided; 0: not told, by those that are known",
                0,
                1024);
        number(keys, "lossCores", 1, "cores that may be lost at once", 0, 31);
        number(keys, "lossDistricts", 1, "districts that may be lost at once", 0, 31);
        number(keys, "lossRegions", 1, "regions that may be lost at once", 0, 31);
        number(
                keys,
                "bootstrap",
                0,
                "1 only at the very first start of a whole fleet that was not told its cores",
                0,
                1);
    }

    /** Switches, all of them 0 or 1. */
    private static void switches(final Map<String, SettingDefinition> keys) {
        number(keys, "alsoEdge", 0, "1: a core answers callers too", 0, 1);
        number(
                keys,
                "keyed",
                1,
                "1: an ask is looked up by its key; 0: by its host and path, and some need no key",
                0,
                1);
        number(
                keys,
                "claims",
                1,
                "1: a run-once ask may come twice and is claimed; 0: its callers never send one twice",
                0,
                1);
        number(keys, "homeEdges", 1, "1: an edge takes asks only of tenants at home in its region", 0, 1);
        number(
                keys,
                "holdsEdges",
                1,
                "1: edges of a held district take no asks; 0: a hold empties its upstreams only",
                0,
                1);
        number(
                keys,
                "any500",
                0,
                "1: any answer of 500 or above to what may be repeated is trouble; 0: 502 and 503 only",
                0,
                1);
        number(
                keys,
                "unsentFree",
                0,
                "1: a further go after one that was never sent is no retry and isn't counted; 0: each further go is one",
                0,
                1);
    }

    /** Costs and limits of routing to upstreams. */
    private static void routing(final Map<String, SettingDefinition> keys) {
        number(
                keys,
                "districtCost",
                0,
                "what it costs to send an ask to another district, in parts of a slot's work",
                0,
                100);
        number(keys, "regionCost", 100, "the same to another region", 0, 1000);
        number(
                keys,
                "warmSlack",
                0,
                "what all edges together may send to a cold upstream each second beside its ramp",
                0,
                1000);
        number(keys, "retryAfterMs", 500, "when a denied caller is told to come back, at the least", 1, 60_000);
    }

    /** Bounds on changes of configuration, keys and upstreams. */
    private static void configurationBounds(final Map<String, SettingDefinition> keys) {
        number(keys, "keyBoundMs", 5000, "a withdrawn key must stop within this", 500, 60_000);
        fraction(
                keys,
                "proofMs",
                "keyBoundMs",
                0.08,
                "how often a node asks for its proof that its policy is the newest",
                10,
                60_000);
        fraction(keys, "freshMs", "keyBoundMs", 0.2, "how old that proof may be to act on", 50, 60_000);
        number(keys, "policyBoundMs", 3500, "an accepted policy must be in force within this", 500, 60_000);
        number(
                keys,
                "leaveBoundMs",
                4000,
                "a leaving upstream or held district must be empty within this",
                500,
                60_000);
    }

    /** Usage windows, the counts in them and the platform's list. */
    private static void usage(final Map<String, SettingDefinition> keys) {
        number(keys, "reportWindowS", 5, "length of a usage window", 1, 3600);
        fraction(keys, "countPushMs", "reportWindowS", 10, "how often an edge pushes counts that changed", 10, 600_000);
        fraction(
                keys,
                "uncountedMs",
                "reportWindowS",
                40,
                "an edge begins nothing more while a count is older and not with a majority;"
                        + " 0: it goes on, and what it began last may be missing in a report",
                0,
                600_000);
        fraction(
                keys,
                "listMs",
                "leaveBoundMs",
                0.25,
                "how often the fleet as a whole reads the platform's list",
                50,
                600_000);
        number(keys, "probes", 1, "0: no upstream is probed, what is listed and not leaving counts as ready", 0, 1);
        number(keys, "reportDueMs", 10_000, "a window's counts must be in within this after its end", 1000, 600_000);
        number(keys, "dutiesPerS", 2, "calls a second that the platform takes for duties", 0.1, 1000);
    }

    /** Leases and their holders. */
    private static void leases(final Map<String, SettingDefinition> keys) {
        number(keys, "leaseMs", 2000, "the lease on a duty", 200, 600_000);
        number(
                keys,
                "restMs",
                0,
                "how long a node that held a duty waits before it follows another holder",
                0,
                600_000);
        number(keys, "maxRunMs", 600_000, "the longest one acquisition may work", 1000, 86_400_000);
    }

    /** Requests, retries and what is held for them. */
    private static void requests(final Map<String, SettingDefinition> keys) {
        number(keys, "farMs", 110, "the longest round trip between two nodes that is not trouble", 1, 5000);
        number(keys, "claimKeepMs", 600_000, "how long run-once claims are kept", 10_000, 86_400_000);
        number(keys, "retryShare", 0.2, "retries as a share of a service's asks", 0, 1);
        number(keys, "retryAllowance", 12, "retries the whole fleet may begin beyond that share", 0, 1000);
        number(keys, "warmRatio", 1.2, "what a cold upstream gets, over its ramp", 0.1, 1.5);
        number(keys, "askOpenMax", 2000, "asks in flight at one edge", 1, 1_000_000);
        number(
                keys,
                "heldMaxBytes",
                128 << 20,
                "bytes of asks' and answers' bodies held at one edge",
                1 << 16,
                1L << 40);
        number(keys, "askSpanMaxMs", 30_000, "the longest an ask may take", 100, 600_000);
        number(keys, "policyMaxBytes", 8 << 20, "the largest policy", 1024, 30 << 20);
    }

    /** What a core stores and sends. */
    private static void storage(final Map<String, SettingDefinition> keys) {
        number(keys, "ringSegments", 8, "files in the ring", 6, 1024);
        number(keys, "ringSegmentBytes", 8 << 20, "size of each", 1 << 16, 1 << 30);
        number(
                keys,
                "noteVersion",
                MessageCodec.CURRENT_VERSION,
                "version of the notes this node sends; the older one while an upgrade is under way",
                MessageCodec.OLDEST_VERSION,
                MessageCodec.CURRENT_VERSION);
        number(keys, "auditFiles", 8, "audit files kept, the oldest going first; 0: no audit is written", 0, 1000);
        number(keys, "auditFileBytes", 1 << 20, "size of each", 4096, 1 << 30);
    }

    /** Threads and connections. */
    private static void threads(final Map<String, SettingDefinition> keys) {
        number(
                keys,
                "workers",
                4,
                "worker threads; 0: the thread that reads and writes wires does their work too",
                0,
                256);
        number(keys, "ioThreads", 2, "threads that read and write wires", 1, 64);
        number(
                keys,
                "wireRestMs",
                1000,
                "how long a wire to an upstream may rest and be used again, where the upstream does not say",
                1,
                600_000);
        number(keys, "connectMs", 2000, "how long opening a wire to an upstream may take", 1, 60_000);
        number(keys, "whereS", 2, "how long callers may use the edges they were told", 0.1, 600);
        number(keys, "stopWaitMs", 3000, "how long a clean stop lets go what is in flight", 0, 600_000);
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
