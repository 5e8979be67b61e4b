package spokestall.testbed.scale;

/** The parts of a run at scale: until all are up, without failures, and with an ordinary day's. */
public enum Phase {
    BOOT,
    CALM,
    DAY
}
