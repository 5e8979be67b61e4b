package spokestall.testbed.fault;

import java.util.Map;

/**
 * Faults that a simulation injects to verify that the judge detects them. A fault either relaxes a guard by means of settings or makes
 * the simulated environment misbehave.
 */
public enum InjectedFault {
    NONE(Map.of()),
    /**
     * Freshness proofs of the configuration are valid twelve times as long, and nodes request them twelve times as rarely; reports on
     * upstreams are valid five times as long. The limit on uncounted attempts is disabled too: it would stop an isolated edge and so hide
     * the fault.
     */
    OLD_PROOFS(Map.of("keyBoundMs", "60000", "leaveBoundMs", "20000", "uncountedMs", "0")),
    /** Nodes probe upstreams and shuffle membership views fifteen times as rarely. */
    SELDOM_PROBES(Map.of("leaveBoundMs", "60000")),
    /** Nodes are configured with the wrong regions for the zones. */
    WRONG_REGIONS(Map.of("districts", "d1=r2,d2=r2,d3=r1,d4=r1,d5=r3,d6=r3")),
    /** Each edge applies a bound that all edges share as if it were the only edge. */
    UNDIVIDED(Map.of("edges", "1")),
    /** Retries are not limited to their share of requests. */
    FREE_RETRIES(Map.of("retryShare", "1", "retryAllowance", "1000")),
    /** Nodes assume a deadline of 30 seconds for usage reports. */
    LATE_REPORTS(Map.of("reportDueMs", "30000")),
    /** Disks acknowledge a write seconds before it is durable. */
    LYING_DISK(Map.of()),
    /** Nodes send a usage report without checking its deadline immediately before the send, however long the machine froze. */
    NO_LAST_LOOK(Map.of()),
    /** A corrupt upstream response is forwarded to the client. */
    GARBAGE_PASSED(Map.of()),
    /** A connection that broke after the upstream ran the request is treated as if the request had never been sent. */
    LOST_AS_NOT_SENT(Map.of()),
    /** Usage reports swap the counts of two tenants; the sum stays correct. */
    SWAPPED_TENANTS(Map.of()),
    /** A response carries the headers of another response. */
    OTHERS_HEADERS(Map.of()),
    /** Recorded responses are also stored at cores outside the tenant's home regions. */
    KEPT_ABROAD(Map.of()),
    /** The platform receives no usage reports for a while although the fleet could deliver them. */
    DEAF_PLATFORM(Map.of()),
    /** Reports on upstreams are slightly too old: more than three seconds, but not more than five. */
    SLOW_LEAVING(Map.of("leaveBoundMs", "24000")),
    /** A node that requests a freshness proof from a core that it is cut off from receives a forged confirmation. */
    FORGED_PROOFS(Map.of()),
    /** Nodes send the end of a usage report without announcing in the lease that the call may be in flight. */
    UNANNOUNCED_CALLS(Map.of()),
    /** Each configuration change carries a timestamp one hour after the previous change. */
    LEAPING_CHANGES(Map.of());

    @SuppressWarnings("ImmutableEnumChecker") // All values are created by Map.of.
    private final Map<String, String> settings;

    InjectedFault(final Map<String, String> settings) {
        this.settings = settings;
    }

    public Map<String, String> settings() {
        return settings;
    }
}
