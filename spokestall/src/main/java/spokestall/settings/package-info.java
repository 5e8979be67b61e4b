/**
 * A node's settings.
 *
 * <p>Owns: the names, defaults, bounds and descriptions of all settings ({@code SettingDefinitions}), reading them from the
 * settings file and from flags ({@link spokestall.settings.SettingsReader}), their validation, and reloading in a running node
 * ({@link spokestall.settings.SettingsUpdate}).
 *
 * <p>Invariants: all settings are validated together before a node starts. Allocated sizes and values that nodes agree on don't
 * change while it runs. Internal durations are derived as fractions of the bounds set here.
 *
 * <p>Callers: the code that starts or reloads a node, and {@code node}. State machines receive single values, never this package's
 * types.
 */
package spokestall.settings;
