package spokestall.settings;

import java.util.List;

/** What reading settings gave: settings that can be used, or all errors in them. */
public sealed interface SettingsResult {
    /** Settings that passed all checks. */
    record Valid(Settings settings) implements SettingsResult {}

    /** All errors found, at least one. Checks of settings against each other are made only if each one is valid by itself. */
    record Invalid(List<SettingsError> errors) implements SettingsResult {}
}
