/**
 * How a request to change the configuration becomes the next version.
 *
 * <p>Owns: the requests under way and their proposals ({@link spokestall.configuration.change.ChangeCoordinator}), and the
 * form in which callers express a change ({@link spokestall.configuration.change.ChangeDraft}) and how long they wait for it
 * ({@link spokestall.configuration.change.ChangeDeadlines}).
 *
 * <p>Invariants: a change is validated as a whole before it is proposed. A version is one write-once register, so a number
 * denotes one change. A request is judged only by a configuration confirmed to be the newest after the request arrived. A
 * change id that committed lately is acknowledged again, not applied twice. Each request receives one reply,
 * perhaps before the change has ended.
 *
 * <p>Callers: operators' calls ({@code spokestall.node} and the platform module). Everything runs on the node's event loop.
 */
package spokestall.configuration.change;
