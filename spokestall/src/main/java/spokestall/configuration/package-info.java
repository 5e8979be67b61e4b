/**
 * The operators' configuration. In stored data and in operators' calls its name is {@code policy}.
 *
 * <p>Owns: the configuration as an immutable JSON tree and in indexed form ({@link spokestall.configuration.Configuration}), its
 * format ({@link spokestall.configuration.ConfigurationFormat}), its validation
 * ({@link spokestall.configuration.ConfigurationValidator}), and the applied version with the newest changes
 * ({@link spokestall.configuration.ConfigurationStore}). {@code spokestall.configuration.feed} distributes it to the
 * nodes, and {@code spokestall.configuration.change} changes it.
 *
 * <p>Invariants: a version number identifies one change. Versions are applied in order and only increase. A tree shares the nodes
 * that a change doesn't modify with the previous tree, so that validation and reading can skip them by identity; trees are never
 * modified. All nodes at the same version know the same committed change ids.
 *
 * <p>Callers: the feed client and the acceptor's storage apply versions to the store; {@code spokestall.proxy} reads the applied
 * configuration; the change coordinator validates changes.
 */
package spokestall.configuration;
