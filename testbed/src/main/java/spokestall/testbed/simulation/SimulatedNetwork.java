package spokestall.testbed.simulation;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import spokestall.message.Message;
import spokestall.message.MessageCodec;

/** Simulated network: latency between regions, cuts in one or both directions, packet loss and added delay. */
final class SimulatedNetwork {
    private final VirtualTime sim;
    private final Random random;
    private final long interRegionMs;
    private final Map<String, String> regions = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Map<String, Double> lossShares = new HashMap<>();
    private final Map<String, Long> extraDelayMs = new HashMap<>();

    SimulatedNetwork(final VirtualTime sim, final long apartMs) {
        this.sim = sim;
        this.random = sim.random("net");
        this.interRegionMs = apartMs;
    }

    void place(final String who, final String region) {
        regions.put(who, region);
    }

    void cut(final String from, final String to, final boolean blocked) {
        if (blocked) {
            cuts.add(from + ">" + to);
        } else {
            cuts.remove(from + ">" + to);
        }
    }

    void cutBoth(final String one, final String two, final boolean blocked) {
        cut(one, two, blocked);
        cut(two, one, blocked);
    }

    void loss(final String who, final double share) {
        lossShares.put(who, share);
    }

    void slow(final String who, final long ms) {
        extraDelayMs.put(who, ms);
    }

    void heal() {
        cuts.clear();
        lossShares.clear();
        extraDelayMs.clear();
    }

    boolean isOpen(final String from, final String to) {
        return !cuts.contains(from + ">" + to);
    }

    /**
     * Returns the one-way delay in milliseconds, or -1 if the message is lost. TCP retransmits lost packets, so that three in four
     * messages that are hit by packet loss arrive late; the fourth is lost.
     */
    long oneWayMs(final String from, final String to) {
        if (!isOpen(from, to)) {
            return -1;
        }
        final boolean far = !regions.getOrDefault(from, "?").equals(regions.getOrDefault(to, "?"));
        long ms = (far ? interRegionMs / 2 : 0) + random.nextInt(3);
        ms += extraDelayMs.getOrDefault(from, 0L) + extraDelayMs.getOrDefault(to, 0L);
        final double loss = Math.max(lossShares.getOrDefault(from, 0.0), lossShares.getOrDefault(to, 0.0));
        if (loss > 0 && random.nextDouble() < loss) {
            return random.nextInt(4) == 0 ? -1 : ms + 200 + random.nextInt(400);
        }
        return ms;
    }

    /** Returns the one-way delay on a connection that hides all packet loss by a longer delay, or -1 if the link is cut. */
    long reliableOneWayMs(final String from, final String to) {
        final long ms = oneWayMs(from, to);
        return ms < 0 && isOpen(from, to) ? (long) (600 + random.nextInt(600)) : ms;
    }

    /** Encodes a message, delivers the decoded message after the delay, and returns the length of the encoding in bytes. */
    int carry(
            final String from,
            final String to,
            final Message message,
            final int version,
            final java.util.function.Consumer<Message> arrive) {
        final long ms = oneWayMs(from, to);
        final byte[] frame = MessageCodec.encode(message, version);
        sim.recordFrame(frame);
        if (ms < 0) {
            return frame.length;
        }
        sim.after(ms, () -> {
            try {
                arrive.accept(MessageCodec.decode(frame));
            } catch (final IOException e) {
                throw new IllegalStateException(e);
            }
        });
        return frame.length;
    }
}
