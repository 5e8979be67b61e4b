package spokestall.rim;

/** What listens to those outside the fleet. */
public interface Front {
    /** Begins to listen; throws when an address can't be had. Example: {@code front.start();} */
    void start();

    /** Takes no more wires; those that are open go on. Example: {@code front.stop();} */
    void stop();
}
