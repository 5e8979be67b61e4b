package spokestall.testbed.soak;

import java.io.IOException;
import java.util.Random;
import spokestall.testbed.fleet.Fleet;

/** Series of similar actions in sequence; several series run concurrently. */
enum SoakSeries {
    /** Members' settings change repeatedly, each time followed by HUP. */
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
    /** Members are stopped and then started again. */
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
    /** A member receives several stop signals with HUP in between. */
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
    /** The configuration changes in quick succession, each time through a random node. */
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

    /** Plays the whole series on the calling thread. */
    abstract void play(SoakActions actions, Random random) throws IOException, InterruptedException;
}
