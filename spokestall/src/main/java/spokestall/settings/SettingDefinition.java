package spokestall.settings;

/**
 * Definition of one setting: its default, its description in the help and its allowed values. Immutable.
 *
 * @param defaultValue the value if none is given; null if the setting is required; empty if it is optional or has a
 *     {@code defaultFraction}
 * @param defaultFraction the default of a number as a fraction of another setting; null if {@code defaultValue} is the default
 */
record SettingDefinition(String defaultValue, String description, Kind kind, Range range, Fraction defaultFraction) {
    /** Placeholder range of settings that aren't numbers. */
    static final Range NO_RANGE = new Range(0, 0);

    /** Format of a value. */
    enum Kind {
        TEXT,
        NUMBER,
        /** IP and port. */
        ADDRESS,
        /** IP and port, or empty. */
        OPTIONAL_ADDRESS,
        /** One or more pairs of IP and port, separated by commas. */
        ADDRESSES,
        /** Zones with their regions. */
        ZONES,
        /** IP addresses and networks, separated by commas, or empty. */
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

    /** Returns the default as shown in the help; empty if there is none. */
    String defaultForHelp() {
        if (defaultValue == null) {
            return " (must be given)";
        } else if (defaultFraction != null) {
            return " [" + defaultFraction.ratio + " x " + defaultFraction.baseKey + "]";
        }
        return defaultValue.isEmpty() ? "" : " [" + defaultValue + "]";
    }
}
