package spokestall.testbed.soak;

import java.io.IOException;
import java.util.Random;
import spokestall.testbed.fleet.Fleet;

/** Series of the same thing, one after the other; several are played at the same time. */
enum SoakSeries {
    /** A member's settings change and it is told so, again and again. */
    HANGUPS {
        @Override
        void play(final SoakActions actions, final Random random) throws IOException, InterruptedException {
            final int times = 3 + random.nextInt(6);
            for (int i = 0; i < times; i++) {
                actions.changeSettingAndHangup(random);
                Fleet.pause(20 + random.nextInt(300));
            }
        }
    },
    /** Members are told to stop, and started again once they have. */
    RESTARTS {
        @Override
        void play(final SoakActions actions, final Random random) throws IOException, InterruptedException {
            final int times = 1 + random.nextInt(3);
            for (int i = 0; i < times; i++) {
                actions.restart(random, 1);
                Fleet.pause(random.nextInt(400));
            }
        }
    },
    /** A member is told to stop several times, with a hang-up in between. */
    IMPATIENT_RESTART {
        @Override
        void play(final SoakActions actions, final Random random) throws IOException, InterruptedException {
            actions.restart(random, 2 + random.nextInt(3));
        }
    },
    /** A member is killed and started again. */
    KILL {
        @Override
        void play(final SoakActions actions, final Random random) throws IOException, InterruptedException {
            actions.kill(random, random.nextInt(1000));
        }
    },
    /** The configuration changes in quick succession, each time at another node. */
    CHANGES {
        @Override
        void play(final SoakActions actions, final Random random) throws IOException, InterruptedException {
            final int times = 3 + random.nextInt(8);
            for (int i = 0; i < times; i++) {
                actions.change(random);
                Fleet.pause(random.nextInt(400));
            }
        }
    };

    /** Plays the series to its end on the calling thread. */
    abstract void play(SoakActions actions, Random random) throws IOException, InterruptedException;
}
