package spokestall.testbed;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses nodes' settings from {@code --set key=value} on the command line. */
public final class SettingArguments {
    private SettingArguments() {}

    /**
     * Returns the settings by name, in the order of the arguments.
     *
     * @throws IllegalArgumentException if an argument isn't of the form {@code key=value}
     */
    public static Map<String, String> parse(final List<String> arguments) {
        final Map<String, String> settings = new LinkedHashMap<>();
        for (final String argument : arguments) {
            final int equals = argument.indexOf('=');
            if (equals < 1) {
                throw new IllegalArgumentException("--set: needs key=value, not " + argument);
            }
            settings.put(argument.substring(0, equals), argument.substring(equals + 1));
        }
        return settings;
    }
}
