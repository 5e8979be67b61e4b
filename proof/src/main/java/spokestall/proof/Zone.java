package spokestall.proof;

/** How far a note goes. */
enum Zone {
    DISTRICT,
    DISTRICTS,
    REGIONS
}
