package spokestall.usage;

/** Supplies the time from which the counts of the voter set's current generation are known to be complete. */
@FunctionalInterface
public interface ReportFloor {
    /** Returns that time, in milliseconds of the fleet clock. Windows that began earlier are not reported. */
    long fleetMs();
}
