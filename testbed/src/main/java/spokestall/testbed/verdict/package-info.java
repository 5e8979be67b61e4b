/**
 * What must never happen, and the judges of runs.
 *
 * <p>Owns: the rules with their bounds ({@link spokestall.testbed.verdict.Rule}; docs/never.md has the same table), the judge of
 * simulated runs and that of real processes, and the ledger of what stand-ins saw.
 *
 * <p>Invariants: judges read the ledgers of the outside, never the product's state.
 */
package spokestall.testbed.verdict;
