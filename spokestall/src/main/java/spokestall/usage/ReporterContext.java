package spokestall.usage;

import spokestall.consensus.Proposer;
import spokestall.message.MessageSender;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * The node that a {@link UsageReporter} runs on.
 *
 * @param node the node's name
 * @param address the address to which cores send their counts
 * @param proposer proposes changes to the windows' registers
 * @param sender sends requests to the cores
 * @param clock the monotonic clock of this process
 * @param fleetClock the clock from which windows are numbered
 */
public record ReporterContext(
        String node, String address, Proposer proposer, MessageSender sender, Clock clock, FleetClock fleetClock) {}
