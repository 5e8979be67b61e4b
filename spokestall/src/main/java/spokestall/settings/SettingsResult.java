package spokestall.settings;

import java.util.List;

/** Result of reading settings: valid settings, or all errors found. */
public sealed interface SettingsResult {
    /** Settings that passed all checks. */
    record Valid(Settings settings) implements SettingsResult {}

    /** All errors found, at least one. Settings are checked against each other only if each one is valid on its own. */
    record Invalid(List<SettingsError> errors) implements SettingsResult {}
}
