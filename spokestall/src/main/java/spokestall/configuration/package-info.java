/**
 * The operators' configuration, which stored data and operators' calls name {@code policy}.
 *
 * <p>Owns: the configuration as an immutable tree and what it means ({@link spokestall.configuration.Configuration}), its
 * format ({@link spokestall.configuration.ConfigurationFormat}), its validation
 * ({@link spokestall.configuration.ConfigurationValidator}), and the applied version with the newest changes
 * ({@link spokestall.configuration.ConfigurationStore}). How it is followed is
 * {@code spokestall.configuration.feed}'s, how it is changed {@code spokestall.configuration.change}'s.
 *
 * <p>Invariants: a version denotes one change. Versions are applied in order and only rise. Trees share the nodes that a
 * change leaves alone, so that validation and reading skip them by identity; no tree is modified once made. All nodes at a
 * version know the same committed change ids.
 *
 * <p>Callers: the feed client and the acceptor's storage apply versions to the store; {@code spokestall.proxy} reads the
 * applied configuration; the change coordinator validates.
 */
package spokestall.configuration;
