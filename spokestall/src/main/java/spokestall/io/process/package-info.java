/**
 * A node as a process: threads, files and sockets around the node, from its start to a clean stop.
 *
 * <p>Owns: the wiring of a process ({@link spokestall.io.process.NodeProcess}), the signal that settings have changed ({@link
 * spokestall.io.process.HangupSignal}) and their reading ({@link spokestall.io.process.SettingsReloader}).
 *
 * <p>Invariants: the handler of SIGHUP is installed first, since without it that signal ends the process; settings that can't be
 * read leave those in force.
 *
 * <p>Callers: the commands in {@code cli}, the platform module and the testbed.
 */
package spokestall.io.process;
