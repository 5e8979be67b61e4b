package spokestall.testbed.standin;

import spokestall.testbed.Deployment;

/** A stand-in for an upstream instance: its identity, its address and its lifecycle. */
public interface UpstreamInstance {
    /** Returns its instance, service, zone and region. */
    Deployment.Place place();

    /** Returns its IP address and port. */
    String address();

    /** Returns whether the platform lists it as leaving. */
    boolean leaving();

    void start();

    void stop();
}
