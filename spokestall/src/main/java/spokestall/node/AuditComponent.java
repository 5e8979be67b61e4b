package spokestall.node;

import spokestall.audit.Auditor;
import spokestall.consensus.Proposer;
import spokestall.consensus.Register;
import spokestall.lease.LeaseManager;
import spokestall.message.MessageCodec;
import spokestall.usage.SealedWindow;

/**
 * Records the fleet's decisions that this core observes in its audit log.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class AuditComponent {
    private final NodeContext context;
    private final Auditor auditor;
    private final Proposer proposer;
    private final LeaseManager leaseManager;

    AuditComponent(
            final NodeContext context,
            final Auditor auditor,
            final Proposer proposer,
            final LeaseManager leaseManager) {
        this.context = context;
        this.auditor = auditor;
        this.proposer = proposer;
        this.leaseManager = leaseManager;
    }

    /**
     * Records a usage window in the audit log once this core's acceptor stores the window as reported to the platform.
     */
    void onRegisterStored(final String key, final Register register) {
        if (register.value() != null && SealedWindow.windowOf(key) >= 0) {
            auditor.recordWindow(MessageCodec.decodeRecord(register.value(), SealedWindow.class));
        }
    }

    /**
     * Records the current voters, configuration and lease if they changed since the last tick. Does nothing until the
     * fleet clock has settled, because every entry carries the fleet's time.
     */
    void onTick() {
        if (context.fleetClock.settled()) {
            auditor.recordVoters(proposer.voterSet());
            auditor.recordConfiguration();
            auditor.recordLease(leaseManager.observedLease());
        }
    }
}
