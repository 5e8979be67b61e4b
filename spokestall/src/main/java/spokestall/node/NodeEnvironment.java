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
 * The services through which a {@link Node} reaches the world: time, randomness, network and disk. A process passes real
 * ones, the simulator deterministic ones; nothing below {@link Node} creates its own.
 *
 * <p>All callbacks run on the node's event loop.
 *
 * @param clock monotonic time, wall time and timers
 * @param random the only source of randomness; with the same seed and the same events a node does the same
 * @param messageSender sends a message to another node's address; delivery is not guaranteed
 * @param segments the disk of a core, or null on an edge
 * @param discovery reads the platform's list of endpoints and probes them
 * @param upstreams sends clients' requests to upstreams
 * @param platform receives the usage report
 * @param audit records what was decided
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
