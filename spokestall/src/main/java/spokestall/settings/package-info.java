/**
 * A node's settings.
 *
 * <p>Owns: their names, defaults, bounds and checks, the settings file and the flags.
 *
 * <p>Invariants: all are checked together before a node starts, and don't change in its life. Time spans inside the code are
 * parts of the bounds that are set here.
 *
 * <p>Callers: whoever starts a node; the state machines get single values, never this class.
 */
package spokestall.settings;
