/**
 * Stand-ins for the systems outside the fleet, upstreams and the platform, over real sockets. They record events in a ledger and misbehave
 * on demand.
 */
package spokestall.testbed.standin;
