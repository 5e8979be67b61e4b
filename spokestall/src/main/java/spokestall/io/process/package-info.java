/**
 * A node as a process: threads, files and sockets around the node, from its start to a graceful shutdown.
 *
 * <p>Owns: the wiring of a process ({@link spokestall.io.process.NodeProcess}), the signal that announces changed settings ({@link
 * spokestall.io.process.HangupSignal}) and the reloading of settings ({@link spokestall.io.process.SettingsReloader}).
 *
 * <p>Invariants: the handler of SIGHUP is installed first, since without it that signal ends the process; if new settings
 * can't be read, the current ones remain in effect.
 *
 * <p>Callers: the commands in {@code cli}, the platform module and the testbed.
 */
package spokestall.io.process;
