/**
 * The signed audit log of decisions.
 *
 * <p>Owns: the entries that a core writes about configurations, voters, leases and usage reports, their signatures, and the hash
 * chain from each entry to the previous one.
 *
 * <p>Invariants: each decision is written once per process incarnation. Each entry contains the digest of the previous one, so that
 * {@code spokestall audit} detects removed and altered entries. Writing never delays a decision.
 *
 * <p>Callers: {@code node.AuditComponent} reports decisions; {@code io.AuditFiles} stores the lines; the command {@code audit}
 * verifies them.
 */
package spokestall.audit;
