package spokestall.testbed.standin;

import spokestall.testbed.Deployment;

/** What stands for an upstream: where it is, what it says it is, and how it comes and goes. */
public interface UpstreamInstance {
    /** Its instance, service, zone and region. */
    Deployment.Place place();

    /** Its IP number and port. */
    String address();

    /** Whether the platform lists it as leaving. */
    boolean leaving();

    void start();

    void stop();
}
