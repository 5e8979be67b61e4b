package spokestall.rim;

import spokestall.settings.Settings;

/** What listens to those outside the fleet. */
public interface Front {
    /** Begins to listen; throws when an address can't be had. Example: {@code front.start();} */
    void start();

    /** Goes on with newer settings. Example: {@code front.renew(settings);} */
    void renew(Settings newer);

    /** Takes no more wires; those that are open go on. Example: {@code front.stop();} */
    void stop();
}
