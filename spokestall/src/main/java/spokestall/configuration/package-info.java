/**
 * The operators' configuration (called policy here) and how a change to it is accepted.
 *
 * <p>Owns: the configuration as an immutable tree and what it means ({@link spokestall.configuration.Configuration}), its form
 * ({@link spokestall.configuration.ConfigurationFormat}), its checks ({@link spokestall.configuration.ConfigurationValidator}), the applied version with its newest
 * changes ({@link spokestall.configuration.ConfigurationStore}), and the proposal of the next version ({@link spokestall.configuration.change.ChangeCoordinator}).
 *
 * <p>Invariants: a change is checked as a whole before it is proposed. A version is one write-once register, so a number stands
 * for one change. Versions are applied in order and only rise. A change id that was taken is acknowledged again, not applied
 * twice.
 *
 * <p>Callers: operators' calls reach {@code Acceptance}; {@code feed.Follower} applies versions to the {@code Book};
 * {@code edge} reads the {@code Policy} in force. {@code Acceptance} and {@code feed} know each other: the one cycle among
 * the packages.
 */
package spokestall.configuration;
