package spokestall.proof;

/** The parts of a run at scale: until all are up, without failures, and with an ordinary day's. */
enum Phase {
    BOOT,
    CALM,
    DAY
}
