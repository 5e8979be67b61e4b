package spokestall.node;

import spokestall.audit.Auditor;
import spokestall.consensus.Proposer;
import spokestall.consensus.Register;
import spokestall.lease.LeaseManager;
import spokestall.message.MessageCodec;
import spokestall.usage.SealedWindow;

/**
 * Records in a core's audit log what the fleet decided, as far as this core knows it.
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

    /** Records a usage window once its report is stored here as sent. */
    void onRegisterStored(final String key, final Register register) {
        if (register.value() != null && SealedWindow.windowOf(key) >= 0) {
            auditor.recordWindow(MessageCodec.decodeRecord(register.value(), SealedWindow.class));
        }
    }

    /** Records what was decided since the last tick; entries carry the fleet's time, so it must be known. */
    void onTick() {
        if (context.fleetClock.settled()) {
            auditor.recordVoters(proposer.voterSet());
            auditor.recordConfiguration();
            auditor.recordLease(leaseManager.observedLease());
        }
    }
}
