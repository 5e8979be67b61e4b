/**
 * Monotonic time and timers for state machines, and the fleet's common time.
 *
 * <p><b>Owns</b> the interface through which a state machine gets time and timers ({@link spokestall.time.Clock}), and the fleet's
 * common time ({@link spokestall.time.FleetClock}).
 *
 * <p><b>Invariants.</b> Durations and deadlines are based only on monotonic time. A process reads its machine's wall clock once, at
 * the start. Until the fleet's time has settled, a node admits no request, casts no vote and reports no usage.
 *
 * <p><b>Callers.</b> All state machines, on the node's event loop. {@code io} implements {@code Clock} for a real process; the
 * testbed implements it in virtual time.
 */
package spokestall.time;
