package spokestall.usage;

/** From when on the counts of this generation of the voter set are known to be complete. */
@FunctionalInterface
public interface ReportFloor {
    /** In milliseconds of the fleet's time: no window that began before it is reported. */
    long fleetMs();
}
