/**
 * Time.
 *
 * <p>Owns: the interface through which a state machine gets time and timers ({@link spokestall.time.Clock}), and the fleet's
 * common time ({@link spokestall.time.FleetClock}).
 *
 * <p>Invariants: durations are taken from the monotonic time alone. A machine's calendar is read once, at the start. Until the
 * fleet's time has settled, a node admits nothing, votes nothing and reports nothing.
 *
 * <p>Callers: all state machines; {@code rim.SystemClock} and the simulator implement {@code Clock}.
 */
package spokestall.time;
