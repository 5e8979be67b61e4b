/**
 * The calls of operators and clients, and the result codes.
 *
 * <p>Owns: the schema file of all calls, the check of parameters against it, and the numbered results.
 *
 * <p>Invariants: a call is carried out only after its parameters passed the schema. A result's number never changes its
 * meaning; docs/result-codes.md has the same table, which a test compares.
 *
 * <p>Callers: {@code Desk} registers the calls; the servers in {@code rim} and the platform module run them.
 */
package spokestall.api;
