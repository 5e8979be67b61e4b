package spokestall.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reader of settings. The file overrides defaults, flags override the file, and the result is validated. Thread-safe; blocks. */
public final class SettingsReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SettingsReader() {}

    /**
     * Reads and validates all settings. An unreadable file is reported as one of the errors.
     *
     * @param file a file with a JSON object of texts, numbers and booleans; null if there is none
     * @param flags values by their keys
     * @param core whether the settings are for a core, which needs a data directory
     */
    public static SettingsResult read(final Path file, final Map<String, String> flags, final boolean core) {
        final List<SettingsError> errors = new ArrayList<>();
        final Map<String, String> values = new TreeMap<>();
        SettingDefinitions.all().forEach((name, key) -> values.put(name, key.defaultValue()));
        if (file != null) {
            readFile(file, values, errors);
        }
        flags.forEach((name, value) -> put(name, value, values, errors));
        new SettingsValidator(values, errors).validate(core);
        return errors.isEmpty() ? new SettingsResult.Valid(new Settings(values)) : new SettingsResult.Invalid(errors);
    }

    private static void readFile(final Path file, final Map<String, String> values, final List<SettingsError> errors) {
        try {
            final JsonNode tree = JSON.readTree(Files.readAllBytes(file));
            if (tree == null || !tree.isObject()) {
                errors.add(new SettingsError("settings", file + " is not a JSON object"));
                return;
            }
            tree.fields().forEachRemaining(field -> {
                if (field.getValue().isContainerNode()) {
                    errors.add(new SettingsError(field.getKey(), "must be a text or a number"));
                } else {
                    put(field.getKey(), field.getValue().asText(), values, errors);
                }
            });
        } catch (final IOException e) {
            errors.add(new SettingsError(
                    "settings",
                    "can't read " + file + " as JSON: " + e.getMessage().split("\n")[0]));
        }
    }

    private static void put(
            final String name, final String value, final Map<String, String> values, final List<SettingsError> errors) {
        if (SettingDefinitions.all().containsKey(name)) {
            values.put(name, value);
        } else {
            errors.add(new SettingsError(name, "no such setting"));
        }
    }
}
