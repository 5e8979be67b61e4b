/**
 * Time.
 *
 * <p><b>Owns</b> the interface through which a state machine gets time and timers ({@link spokestall.time.Clock}), and the fleet's
 * common time ({@link spokestall.time.FleetClock}).
 *
 * <p><b>Invariants.</b> Durations and deadlines are taken from the monotonic time alone. A machine's calendar is read once, at the
 * start. Until the fleet's time has settled, a node admits no request, casts no vote and reports no usage.
 *
 * <p><b>Callers.</b> All state machines, on the node's event loop. {@code io} implements {@code Clock} for a process, the testbed for
 * virtual time.
 */
package spokestall.time;
