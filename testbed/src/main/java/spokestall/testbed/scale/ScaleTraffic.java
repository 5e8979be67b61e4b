package spokestall.testbed.scale;

/** What one node sent, heard and computed, by phase, distance and kind of note. */
final class ScaleTraffic {
    /** Kinds above the notes' own numbers. */
    static final int TIMER = 64;

    static final int DISK = 65;
    static final int OUTSIDE = 66;
    static final int START = 67;
    static final int ASKS = 68;
    static final int CALL = 69;
    static final int KINDS = 70;
    private static final int ZONES = Distance.values().length;
    private static final int PHASES = Phase.values().length;
    private static final String[] OTHERS = {"beats", "disk", "outside", "start", "asks", "calls"};
    /** Bytes that a wire puts before each note. */
    private static final int HEAD_BYTES = 4;

    private final long[] notesIn = new long[PHASES * ZONES * KINDS];
    private final long[] notesOut = new long[PHASES * ZONES * KINDS];
    private final long[] bytesIn = new long[PHASES * ZONES * KINDS];
    private final long[] bytesOut = new long[PHASES * ZONES * KINDS];
    private final long[] cpuNs = new long[PHASES * KINDS];

    private static int at(final Phase phase, final Distance zone, final int kind) {
        return (phase.ordinal() * ZONES + zone.ordinal()) * KINDS + kind;
    }

    void out(final Phase phase, final Distance zone, final int kind, final int bytes) {
        notesOut[at(phase, zone, kind)]++;
        bytesOut[at(phase, zone, kind)] += bytes + HEAD_BYTES;
    }

    void in(final Phase phase, final Distance zone, final int kind, final int bytes) {
        notesIn[at(phase, zone, kind)]++;
        bytesIn[at(phase, zone, kind)] += bytes + HEAD_BYTES;
    }

    void spent(final Phase phase, final int kind, final long ns) {
        cpuNs[phase.ordinal() * KINDS + kind] += ns;
    }

    long notesOut(final Phase phase, final Distance zone, final int kind) {
        return notesOut[at(phase, zone, kind)];
    }

    long notesIn(final Phase phase, final Distance zone, final int kind) {
        return notesIn[at(phase, zone, kind)];
    }

    long bytesOut(final Phase phase, final Distance zone, final int kind) {
        return bytesOut[at(phase, zone, kind)];
    }

    long bytesIn(final Phase phase, final Distance zone, final int kind) {
        return bytesIn[at(phase, zone, kind)];
    }

    long cpuNs(final Phase phase, final int kind) {
        return cpuNs[phase.ordinal() * KINDS + kind];
    }

    /** The kind's number as it stands in a frame. */
    static int kind(final byte[] frame) {
        final int from = frame[0] > 1 ? 1 : 0;
        return (frame[from] << 8 | frame[from + 1] & 0xff) & 0x3f;
    }

    static String other(final int kind) {
        return OTHERS[kind - TIMER];
    }
}
