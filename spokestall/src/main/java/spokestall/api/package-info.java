/**
 * The API calls of operators and clients, and the result codes.
 *
 * <p>Owns: the schema file of all calls, the validation of parameters against it, and the result codes.
 *
 * <p>Invariants: a call runs only after its parameters passed the schema validation. The meaning of a result code's
 * number never changes; docs/result-codes.md contains the same table, and a test compares the two.
 *
 * <p>Callers: the {@code ...Calls} of {@code node} register the handlers; the servers in {@code io} and the platform
 * module run calls.
 */
package spokestall.api;
