/**
 * The command line. One program has all commands; the first argument selects the command.
 *
 * <p>Owns: the commands {@code core}, {@code edge}, {@code operator}, {@code demand} and {@code audit}, their flags, output and exit
 * codes.
 *
 * <p>Invariants: scripts rely on the names of commands and flags, on printed results and on exit codes. Errors go to standard error,
 * results to standard output.
 *
 * <p>Callers: {@link spokestall.cli.Main} is the entry point. No other package depends on this one.
 */
package spokestall.cli;
