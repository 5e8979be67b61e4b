/**
 * The signed record of decisions.
 *
 * <p>Owns: the entries that a core writes about configurations, voters, leases and usage reports, their signature, and the hash
 * chain from each entry to the one before it.
 *
 * <p>Invariants: an entry is written once for each decision in one incarnation of the process. Each has the digest of the one
 * before it, so that a removed or altered entry is found by {@code spokestall audit}. Writing never delays a decision.
 *
 * <p>Callers: {@code node.AuditComponent} reports what was decided; {@code io.AuditFiles} stores the lines; the command {@code
 * audit} verifies them.
 */
package spokestall.audit;
