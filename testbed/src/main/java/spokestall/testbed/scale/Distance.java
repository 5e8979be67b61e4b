package spokestall.testbed.scale;

/** How far a note goes. */
enum Distance {
    DISTRICT,
    DISTRICTS,
    REGIONS
}
