package spokestall.testbed.scale;

import java.util.Random;

/** The wires of a fleet at scale: how far each goes, how long that takes, and what is cut. */
final class ScaleNetwork {
    private static final int REGIONS_APART_MS = 18;
    private final boolean[] parted;

    ScaleNetwork(final int regions) {
        this.parted = new boolean[regions];
    }

    /** Cuts a region off from the others, or joins it again. */
    void part(final int region, final boolean now) {
        parted[region] = now;
    }

    boolean open(final ScaleNode one, final ScaleNode other) {
        return one.region == other.region || parted[one.region] == parted[other.region];
    }

    boolean cutOff(final ScaleNode node) {
        return parted[node.region];
    }

    static Distance distance(final ScaleNode one, final ScaleNode other) {
        return one.zone == other.zone
                ? Distance.DISTRICT
                : one.region == other.region ? Distance.DISTRICTS : Distance.REGIONS;
    }

    static long wayMs(final Distance distance, final Random random) {
        return switch (distance) {
            case DISTRICT -> 1;
            case DISTRICTS -> 1 + random.nextInt(2);
            case REGIONS -> REGIONS_APART_MS + random.nextInt(5);
        };
    }
}
