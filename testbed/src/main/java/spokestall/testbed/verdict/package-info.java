/**
 * Rules that must never be broken, and the judges that check runs against them.
 *
 * <p>Owns: the rules with their bounds ({@link spokestall.testbed.verdict.Rule}; docs/never.md has the same table), the judge of
 * simulated runs and that of real processes, and the ledger of what the stand-ins saw.
 *
 * <p>Invariants: judges read only what clients, upstreams and the platform recorded, never the state of the product.
 */
package spokestall.testbed.verdict;
