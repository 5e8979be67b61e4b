package spokestall.node;

import java.util.Random;
import spokestall.audit.AuditSink;
import spokestall.discovery.DiscoveryClient;
import spokestall.message.MessageSender;
import spokestall.proxy.UpstreamClient;
import spokestall.storage.SegmentStore;
import spokestall.time.Clock;
import spokestall.usage.UsageReportClient;

/**
 * The external services of a {@link Node}: time, randomness, network and disk. A process passes real implementations,
 * the simulator deterministic ones; {@link Node} and the packages below it create none of their own.
 *
 * <p>All callbacks run on the node's event loop.
 *
 * @param clock monotonic time, wall time and timers
 * @param random the only source of randomness; the same seed and the same events give the same behaviour
 * @param messageSender sends a message to another node's address; delivery is not guaranteed
 * @param segments the disk of a core, or null on an edge
 * @param discovery reads the platform's list of endpoints and probes them
 * @param upstreams sends client requests to upstreams
 * @param platform receives the usage report
 * @param audit records the fleet's decisions
 */
public record NodeEnvironment(
        Clock clock,
        Random random,
        MessageSender messageSender,
        SegmentStore segments,
        DiscoveryClient discovery,
        UpstreamClient upstreams,
        UsageReportClient platform,
        AuditSink audit) {}
