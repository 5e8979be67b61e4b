package spokestall.settings;

/**
 * One setting: its default, its line in the help and what values it may have. Immutable.
 *
 * @param fallback value if none is given; null if one must be given, empty if the value is optional or a fraction of another
 * @param fraction what a number is if none is given, null if {@code defaultValue} says it
 */
record SettingDefinition(String defaultValue, String description, Kind kind, Range range, Fraction defaultFraction) {
    /** Range of a setting that isn't a number. */
    static final Range NO_RANGE = new Range(0, 0);

    /** The form of a value. */
    enum Kind {
        TEXT,
        NUMBER,
        /** IP and port. */
        ADDRESS,
        /** IP and port, or empty. */
        OPTIONAL_ADDRESS,
        /** One or more of IP and port, comma between. */
        ADDRESSES,
        /** Zones with their regions. */
        ZONES,
        /** IP numbers and networks, comma between, or empty. */
        NETWORKS
    }

    /** Bounds of a number, both inclusive. */
    record Range(double min, double max) {
        boolean contains(final double value) {
            return value >= min && value <= max;
        }
    }

    /** A default that is another setting's value times a ratio. */
    record Fraction(String baseKey, double ratio) {}

    /** Returns what the help says about the default, empty if there is nothing to say. */
    String defaultForHelp() {
        if (defaultValue == null) {
            return " (must be given)";
        } else if (defaultFraction != null) {
            return " [" + defaultFraction.ratio + " x " + defaultFraction.baseKey + "]";
        }
        return defaultValue.isEmpty() ? "" : " [" + defaultValue + "]";
    }
}
