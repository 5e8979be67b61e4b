package spokestall.testbed.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The conditions of the links between the nodes' processes: cut, delayed or lossy. Cuts apply to each direction separately. A relay looks
 * up the conditions for each chunk. Thread-safe.
 */
public final class LinkConditions {
    private final Set<String> cuts = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> pids = new ConcurrentHashMap<>();
    private volatile long delayMs;
    private volatile double lossRatio;

    LinkConditions(final long delayMs) {
        this.delayMs = delayMs;
    }

    void registerProcess(final String name, final long pid) {
        pids.put(name, pid);
    }

    public void setCut(final String from, final String to, final boolean isCut) {
        if (isCut) {
            cuts.add(from + ">" + to);
        } else {
            cuts.remove(from + ">" + to);
        }
    }

    /** Cuts all links between two groups of nodes in both directions, or restores them. */
    public void setPartitioned(final List<String> group, final List<String> otherGroup, final boolean isCut) {
        for (final String one : group) {
            for (final String other : otherGroup) {
                setCut(one, other, isCut);
                setCut(other, one, isCut);
            }
        }
    }

    public synchronized void setLoss(final double ratio, final long addedDelayMs) {
        lossRatio = ratio;
        delayMs += addedDelayMs;
    }

    /** Returns whether any link is cut. */
    boolean anyCut() {
        return !cuts.isEmpty();
    }

    boolean isCut(final String from, final String to) {
        return cuts.contains(from + ">" + to);
    }

    /** Returns the delay of the next chunk. A lost chunk arrives 200 to 600 ms late, as after a TCP retransmission. */
    long nextDelayMs() {
        final ThreadLocalRandom random = ThreadLocalRandom.current();
        return delayMs + (lossRatio > 0 && random.nextDouble() < lossRatio ? 200 + random.nextInt(400) : 0);
    }

    /** Returns the node whose process has a connection from this local port, or {@code "?"}; reads the kernel's connection tables. */
    String nodeWithLocalPort(final int port) {
        try {
            final String addressSuffix = String.format(":%04X", port);
            for (final String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
                for (final String line : Files.readAllLines(Path.of(table))) {
                    final String[] parts = line.trim().split("\\s+");
                    if (parts.length > 9 && parts[1].endsWith(addressSuffix)) {
                        final String node = nodeWithSocket("socket:[" + parts[9] + "]");
                        if (node != null) {
                            return node;
                        }
                    }
                }
            }
        } catch (final IOException e) {
            return "?";
        }
        return "?";
    }

    private String nodeWithSocket(final String socket) {
        for (final Map.Entry<String, Long> process : pids.entrySet()) {
            try (var descriptors =
                    Files.newDirectoryStream(Path.of("/proc", Long.toString(process.getValue()), "fd"))) {
                for (final Path fd : descriptors) {
                    if (Files.isSymbolicLink(fd)
                            && Files.readSymbolicLink(fd).toString().equals(socket)) {
                        return process.getKey();
                    }
                }
            } catch (final IOException e) {
                // The process ended or closed the descriptor during the lookup.
            }
        }
        return null;
    }
}
