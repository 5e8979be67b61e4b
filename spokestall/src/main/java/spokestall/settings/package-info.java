/**
 * A node's settings.
 *
 * <p>Owns: their names, defaults, bounds and descriptions ({@code SettingDefinitions}), reading them from the settings file and from flags
 * ({@link spokestall.settings.SettingsReader}), their checks, and what a running node may change
 * ({@link spokestall.settings.SettingsUpdate}).
 *
 * <p>Invariants: all are checked together before a node starts. Those that are allocated or agreed on don't change while it runs.
 * Durations inside the code are fractions of the bounds that are set here.
 *
 * <p>Callers: whoever starts or reloads a node, and {@code node}; the state machines get single values, never this package's types.
 */
package spokestall.settings;
