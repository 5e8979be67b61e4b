/**
 * The calls of operators and clients, and the result codes.
 *
 * <p>Owns: the schema file of all calls, the check of parameters against it, and the numbered results.
 *
 * <p>Invariants: a call is run only after its parameters passed the schema. A result's number never changes its meaning;
 * docs/result-codes.md has the same table, which a test compares.
 *
 * <p>Callers: the {@code ...Calls} of {@code node} register the handlers; the servers in {@code io} and the platform module run
 * calls.
 */
package spokestall.api;
