package spokestall.membership;

/**
 * The cores that vote on the next generation: the voters of the current voter set. Before the first generation of a fleet whose
 * number of cores is configured, every core votes. Not thread-safe; all calls on the node's event loop.
 */
final class RecoveryElectorate {
    private final MembershipContext context;

    RecoveryElectorate(final MembershipContext context) {
        this.context = context;
    }

    /** Returns the number of cores that may vote. */
    int size() {
        return context.voterSet() == null
                ? context.settings().configuredCores()
                : context.voterSet().voters().size();
    }

    /** Returns the number of votes that decide. */
    int majority() {
        return size() / 2 + 1;
    }

    /** Whether the core with this name may vote. */
    boolean contains(final String core) {
        return context.voterSet() == null
                ? context.settings().configuredCores() != 0
                : context.voterSet().voter(core) != null;
    }

    /** Whether this core may vote. */
    boolean containsLocal() {
        return contains(context.local().name());
    }
}
