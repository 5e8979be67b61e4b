/**
 * Stand-ins for what lies outside the fleet: upstreams and the platform, over real sockets. They keep a ledger and misbehave
 * when they are told to.
 */
package spokestall.testbed.standin;
