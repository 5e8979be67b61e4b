/**
 * The signed record of decisions.
 *
 * <p>Owns: the entries that a core writes about configurations, memberships, leases and reports, their signature and the hash
 * chain from each to the one before.
 *
 * <p>Invariants: an entry is written once for each decision in one life of the process. Each names the digest of the one
 * before it, so a removed or altered entry is found by {@code spokestall audit}. Writing never holds a decision up.
 *
 * <p>Callers: {@code Node} tells what was decided; {@code rim.AuditFiles} stores the lines; the command {@code audit} checks
 * them.
 */
package spokestall.audit;
