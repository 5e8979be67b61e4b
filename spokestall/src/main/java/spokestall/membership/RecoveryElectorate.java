package spokestall.membership;

/**
 * The cores that vote on the next generation: the voters of the set that it ends. Before the first generation of a fleet whose
 * number of cores is configured, every core votes. Not thread-safe; all calls on the node's event loop.
 */
final class RecoveryElectorate {
    private final MembershipContext context;

    RecoveryElectorate(final MembershipContext context) {
        this.context = context;
    }

    /** How many cores may vote. */
    int size() {
        return context.voterSet() == null
                ? context.settings().configuredCores()
                : context.voterSet().voters().size();
    }

    /** How many votes decide. */
    int majority() {
        return size() / 2 + 1;
    }

    /** Whether the core of this name may vote. */
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
