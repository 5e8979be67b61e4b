package spokestall.testbed.fault;

import java.util.Map;

/** Faults that are planted to see that the judge finds them: a guard widened by settings, or the world made to lie. */
public enum InjectedFault {
    NONE(Map.of()),
    /** Proofs of the configuration count twelve times as long and are asked for as seldom; words on upstreams five times. A cut-off
     * edge is not stopped by its counts either, or they would hide it. */
    OLD_PROOFS(Map.of("keyBoundMs", "60000", "leaveBoundMs", "20000", "uncountedMs", "0")),
    /** Upstreams are probed and views shuffled fifteen times as seldom. */
    SELDOM_PROBES(Map.of("leaveBoundMs", "60000")),
    /** Nodes believe that their zones lie in other regions. */
    WRONG_REGIONS(Map.of("districts", "d1=r2,d2=r2,d3=r1,d4=r1,d5=r3,d6=r3")),
    /** Each edge takes a shared bound as its own. */
    UNDIVIDED(Map.of("edges", "1")),
    /** Retries are not held to their share. */
    FREE_RETRIES(Map.of("retryShare", "1", "retryAllowance", "1000")),
    /** Reports are thought to have half a minute. */
    LATE_REPORTS(Map.of("reportDueMs", "30000")),
    /** Disks say that a write is down seconds before it is. */
    LYING_DISK(Map.of()),
    /** Bytes leave without a last look at the time, however long the machine froze before. */
    NO_LAST_LOOK(Map.of()),
    /** A garbled answer is passed on. */
    GARBAGE_PASSED(Map.of()),
    /** A wire that broke after the work counts as never used. */
    LOST_AS_NOT_SENT(Map.of()),
    /** Two tenants' counts are told as each other's; their sum stays right. */
    SWAPPED_TENANTS(Map.of()),
    /** One answer comes with the headers of another. */
    OTHERS_HEADERS(Map.of()),
    /** Kept answers go to cores outside the home regions too. */
    KEPT_ABROAD(Map.of()),
    /** Nothing that is reported arrives for a while, though the fleet could. */
    DEAF_PLATFORM(Map.of()),
    /** Words on upstreams are a little too old: over three seconds, not over five. */
    SLOW_LEAVING(Map.of("leaveBoundMs", "24000")),
    /** Whoever asks a core that it is cut off from hears that what it has is the newest. */
    FORGED_PROOFS(Map.of()),
    /** Each change of the configuration says that it was made an hour after the one before. */
    LEAPING_CHANGES(Map.of());

    @SuppressWarnings("ImmutableEnumChecker") // All are made by Map.of.
    private final Map<String, String> settings;

    InjectedFault(final Map<String, String> settings) {
        this.settings = settings;
    }

    public Map<String, String> settings() {
        return settings;
    }
}
