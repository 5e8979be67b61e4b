/**
 * Commits operators' requests to change the configuration as new versions.
 *
 * <p>Owns: pending requests and their proposals ({@link spokestall.configuration.change.ChangeCoordinator}), the form in which
 * callers express a change ({@link spokestall.configuration.change.ChangeDraft}), and a change's deadlines
 * ({@link spokestall.configuration.change.ChangeDeadlines}).
 *
 * <p>Invariants: a change is validated as a whole before it is proposed. Each version is one write-once register, so a version
 * number identifies one change. A request is evaluated only against a configuration that was confirmed to be the newest after
 * the request arrived. A request whose change id is among the retained committed changes is acknowledged again, not applied
 * twice. A request without a change id is applied only if nothing that it concerns changed after the version that it names. Each request receives one reply, possibly before the change ends.
 *
 * <p>Callers: operators' calls ({@code spokestall.node} and the platform module). All code runs on the node's event loop.
 */
package spokestall.configuration.change;
