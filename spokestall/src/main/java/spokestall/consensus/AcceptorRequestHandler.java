package spokestall.consensus;

import java.util.ArrayList;
import java.util.List;
import spokestall.message.MessageSender;

/**
 * Request handling of an acceptor within one epoch: checks requests of proposers, and of voters that shut down, against the
 * registers and the {@link RegisterGuard}, and replies once the outcome is synced.
 *
 * <p>{@link Acceptor} checks whether it votes in the sender's epoch. The handlers receive the result as {@code epochReply} and send
 * it as the reply if it isn't OK. Not thread-safe; all calls on the node's event loop.
 */
final class AcceptorRequestHandler {
    private final String name;
    private final AcceptorStorage storage;
    private final MessageSender sender;
    private final RegisterGuard guard;

    AcceptorRequestHandler(
            final String name, final AcceptorStorage storage, final MessageSender sender, final RegisterGuard guard) {
        this.name = name;
        this.storage = storage;
        this.sender = sender;
        this.guard = guard;
    }

    /** Promises the proposal number and syncs the promise before it replies. A peek only returns the synced register. */
    void onPrepare(final ConsensusMessage.Prepare prepare, final ConsensusMessage.Reply epochReply) {
        final ConsensusMessage.Reply reply = checkPrepare(prepare, epochReply);
        if (reply != ConsensusMessage.Reply.OK || prepare.peek()) {
            // A peek must not return unsynced state, which a power loss could still revert.
            sendPromise(prepare, reply, storage.syncedRegister(prepare.key()));
            return;
        }
        final Register current = storage.register(prepare.key());
        if (prepare.proposalNumber().compareTo(current.promised()) < 0) {
            sendPromise(prepare, ConsensusMessage.Reply.OUTRANKED, current);
            return;
        }
        final Register promised = new Register(prepare.proposalNumber(), current.accepted(), current.value());
        storage.writeRegister(prepare.key(), promised, synced -> sendPromise(prepare, writeReply(synced), promised));
    }

    private ConsensusMessage.Reply checkPrepare(
            final ConsensusMessage.Prepare prepare, final ConsensusMessage.Reply epochReply) {
        if (epochReply != ConsensusMessage.Reply.OK) {
            return epochReply;
        }
        if (guard.isPruned(prepare.key())) {
            return ConsensusMessage.Reply.PRUNED;
        }
        final boolean createsRegister = !prepare.peek() && !storage.registers().containsKey(prepare.key());
        return createsRegister && !guard.hasCapacityFor(prepare.key())
                ? ConsensusMessage.Reply.REJECTED
                : ConsensusMessage.Reply.OK;
    }

    private static ConsensusMessage.Reply writeReply(final boolean synced) {
        return synced ? ConsensusMessage.Reply.OK : ConsensusMessage.Reply.WRITE_FAILED;
    }

    private void sendPromise(
            final ConsensusMessage.Prepare prepare, final ConsensusMessage.Reply reply, final Register register) {
        sender.send(
                prepare.from(),
                new ConsensusMessage.Promise(
                        prepare.attemptId(),
                        name,
                        storage.diskId(),
                        reply,
                        register.promised(),
                        register.accepted(),
                        reply == ConsensusMessage.Reply.OK ? register.value() : null));
    }

    /** Accepts the value unless a higher number is promised. Syncs the number and the value before it replies. */
    void onAccept(final ConsensusMessage.Accept accept, final ConsensusMessage.Reply epochReply) {
        final ProposalNumber promised = storage.register(accept.key()).promised();
        final ConsensusMessage.Reply reply = checkAccept(accept, promised, epochReply);
        if (reply != ConsensusMessage.Reply.OK) {
            sendAccepted(accept, reply, promised);
            return;
        }
        // Also promises the same proposer's next number, so that the proposer's next change needs no prepare phase.
        storage.writeRegister(
                accept.key(),
                new Register(accept.proposalNumber().next(), accept.proposalNumber(), accept.value()),
                synced -> sendAccepted(accept, writeReply(synced), accept.proposalNumber()));
    }

    private ConsensusMessage.Reply checkAccept(
            final ConsensusMessage.Accept accept,
            final ProposalNumber promised,
            final ConsensusMessage.Reply epochReply) {
        if (epochReply != ConsensusMessage.Reply.OK) {
            return epochReply;
        }
        if (guard.isPruned(accept.key())) {
            return ConsensusMessage.Reply.PRUNED;
        }
        if (!guard.accepts(accept.key(), accept.value())) {
            return ConsensusMessage.Reply.REJECTED;
        }
        return accept.proposalNumber().compareTo(promised) < 0
                ? ConsensusMessage.Reply.OUTRANKED
                : ConsensusMessage.Reply.OK;
    }

    private void sendAccepted(
            final ConsensusMessage.Accept accept, final ConsensusMessage.Reply reply, final ProposalNumber promised) {
        sender.send(
                accept.from(),
                new ConsensusMessage.Accepted(accept.attemptId(), name, storage.diskId(), reply, promised));
    }

    /** Stores a chosen value that this voter has not accepted itself. Does nothing if a higher number is promised. */
    void onChosen(final ConsensusMessage.Chosen chosen) {
        if (guard.isPruned(chosen.key())) {
            return;
        }
        final Register current = storage.register(chosen.key());
        final ProposalNumber number = chosen.proposalNumber();
        if (number.compareTo(current.promised()) >= 0 && number.compareTo(current.accepted()) > 0) {
            storage.writeRegister(chosen.key(), new Register(number, number, chosen.value()), WriteCallback.IGNORED);
        }
    }

    /** Replies with the keys for which the sender has accepted a newer value than the one synced on this disk. */
    void onHandoverRequest(final ConsensusMessage.HandoverRequest request) {
        final List<String> outdatedKeys = new ArrayList<>();
        for (final ConsensusMessage.AcceptedEntry entry : request.acceptedEntries()) {
            final Register synced = storage.syncedRegister(entry.key());
            if (synced.accepted().compareTo(entry.accepted()) < 0 && !guard.isPruned(entry.key())) {
                outdatedKeys.add(entry.key());
            }
        }
        sender.send(
                request.from(),
                new ConsensusMessage.HandoverResponse(name, request.generation(), request.epoch(), outdatedKeys));
    }
}
