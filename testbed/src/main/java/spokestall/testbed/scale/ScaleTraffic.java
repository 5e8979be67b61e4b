package spokestall.testbed.scale;

/** What one node sent, heard and computed, by phase, distance and kind of note. */
final class ScaleTraffic {
    /** Kinds above the messages' own numbers. */
    static final int TIMER = 64;

    static final int DISK = 65;
    static final int OUTSIDE = 66;
    static final int START = 67;
    static final int REQUESTS = 68;
    static final int CALL = 69;
    static final int KINDS = 70;
    private static final int ZONES = Distance.values().length;
    private static final int PHASES = Phase.values().length;
    private static final String[] OTHERS = {"beats", "disk", "outside", "start", "asks", "calls"};
    /** Bytes that a wire puts before each note. */
    private static final int HEAD_BYTES = 4;

    private final long[] messagesIn = new long[PHASES * ZONES * KINDS];
    private final long[] messagesOut = new long[PHASES * ZONES * KINDS];
    private final long[] bytesIn = new long[PHASES * ZONES * KINDS];
    private final long[] bytesOut = new long[PHASES * ZONES * KINDS];
    private final long[] cpuNs = new long[PHASES * KINDS];

    private static int at(final Phase phase, final Distance distance, final int kind) {
        return (phase.ordinal() * ZONES + distance.ordinal()) * KINDS + kind;
    }

    void out(final Phase phase, final Distance distance, final int kind, final int bytes) {
        messagesOut[at(phase, distance, kind)]++;
        bytesOut[at(phase, distance, kind)] += bytes + HEAD_BYTES;
    }

    void in(final Phase phase, final Distance distance, final int kind, final int bytes) {
        messagesIn[at(phase, distance, kind)]++;
        bytesIn[at(phase, distance, kind)] += bytes + HEAD_BYTES;
    }

    void spent(final Phase phase, final int kind, final long ns) {
        cpuNs[phase.ordinal() * KINDS + kind] += ns;
    }

    long messagesOut(final Phase phase, final Distance distance, final int kind) {
        return messagesOut[at(phase, distance, kind)];
    }

    long messagesIn(final Phase phase, final Distance distance, final int kind) {
        return messagesIn[at(phase, distance, kind)];
    }

    long bytesOut(final Phase phase, final Distance distance, final int kind) {
        return bytesOut[at(phase, distance, kind)];
    }

    long bytesIn(final Phase phase, final Distance distance, final int kind) {
        return bytesIn[at(phase, distance, kind)];
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
