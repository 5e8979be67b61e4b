/**
 * The command line: one program, whose first argument names the command.
 *
 * <p>Owns: the commands {@code core}, {@code edge}, {@code operator}, {@code demand} and {@code audit}, their flags, what they
 * print, and their exit codes.
 *
 * <p>Invariants: names of commands and flags, printed texts and exit codes are an interface that scripts rely on. Errors go to
 * the standard error stream, results to the standard output.
 *
 * <p>Callers: {@link spokestall.cli.Main} is the program's entry. No other
 * package refers to this one.
 */
package spokestall.cli;
