package spokestall.testbed.scale;

/** One figure of a run: in which phase, of which role, what it is, of which kind of note and how far, per node. */
record Figure(String phase, String role, String what, String kind, String distance, double value) {
    static final String ALL = "all";

    String name() {
        return phase + "." + role + "." + what + (kind.equals(ALL) ? "" : "." + kind)
                + (distance.equals(ALL) ? "" : "." + distance);
    }
}
