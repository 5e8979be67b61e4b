package spokestall.usage;

import spokestall.consensus.Proposer;
import spokestall.message.MessageSender;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * The node that a {@link UsageReporter} runs on.
 *
 * @param node the node's name
 * @param address where cores send their counts to
 * @param proposer changes the windows' registers
 * @param sender sends requests to the cores
 * @param clock the monotonic clock of this process
 * @param fleetClock the time by which windows are numbered
 */
public record ReporterContext(
        String node, String address, Proposer proposer, MessageSender sender, Clock clock, FleetClock fleetClock) {}
