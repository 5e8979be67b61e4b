package spokestall.membership;

import java.util.List;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageSender;

/**
 * Acceptor of the vote on the first generation. It runs on every seed, which may be a core or an edge.
 *
 * <p>Promises and the accepted state are kept in memory only. That is sufficient because only an incarnation that is configured as
 * the fleet's first, and whose disk, if it has one, was blank, ever votes: no later incarnation can vote and so contradict promises
 * that a restart has lost. For the same reason this class sends a reply only after the disk, if there is one, is durably
 * marked as used.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class BootstrapAcceptor {
    /** Whether this incarnation may vote. */
    public enum Eligibility {
        /** The node was configured for the fleet's first start and its disk, if it has one, was blank. */
        FIRST_INCARNATION,
        /** An earlier incarnation of this node may have voted. */
        LATER_INCARNATION
    }

    /** Callbacks from the acceptor to the node that runs it. */
    public interface Environment {
        /** Returns the voter set that this node knows, or null. */
        VoterSet voterSet();

        /** Runs the action once the disk, if there is one, is durably marked as used, so that no later start finds it blank. */
        void afterDiskMarked(Runnable action);
    }

    private final String address;
    private final List<String> seeds;
    private final boolean mayVote;
    private final MessageSender sender;
    private final Environment environment;
    private ProposalNumber promised = ProposalNumber.NONE;
    private ProposalNumber accepted = ProposalNumber.NONE;
    private InitialState acceptedState;

    /** Creates the acceptor of the node at this address, which votes only if the address is one of the seeds. */
    public BootstrapAcceptor(
            final String address,
            final List<String> seeds,
            final Eligibility eligibility,
            final MessageSender sender,
            final Environment environment) {
        this.address = address;
        this.seeds = seeds.stream().sorted().distinct().toList();
        this.mayVote = eligibility == Eligibility.FIRST_INCARNATION && seeds.contains(address);
        this.sender = sender;
        this.environment = environment;
    }

    /** Handles a proposer's request; ignores replies from other seeds. */
    public void onMessage(final BootstrapMessage message) {
        if (message instanceof BootstrapMessage.Prepare prepare && votesFor(prepare.from(), prepare.seeds())) {
            onPrepare(prepare);
        } else if (message instanceof BootstrapMessage.Accept accept && votesFor(accept.from(), accept.seeds())) {
            onAccept(accept);
        }
    }

    private void onPrepare(final BootstrapMessage.Prepare prepare) {
        final boolean granted = prepare.proposalNumber().compareTo(promised) >= 0;
        promised = granted ? prepare.proposalNumber() : promised;
        reply(
                prepare.from(),
                new BootstrapMessage.Promise(
                        address,
                        prepare.proposalNumber(),
                        granted,
                        promised,
                        accepted,
                        granted ? acceptedState : null));
    }

    private void onAccept(final BootstrapMessage.Accept accept) {
        final boolean granted = accept.proposalNumber().compareTo(promised) >= 0;
        if (granted) {
            promised = accept.proposalNumber();
            accepted = accept.proposalNumber();
            acceptedState = accept.initialState();
        }
        reply(accept.from(), new BootstrapMessage.Accepted(address, accept.proposalNumber(), granted, promised));
    }

    private void reply(final String to, final BootstrapMessage message) {
        environment.afterDiskMarked(() -> sender.send(to, message));
    }

    /**
     * Whether this node votes on the proposal. If it knows a voter set already, it sends that to the proposer and does not vote. A
     * proposer that is configured with other seeds gets no reply.
     */
    private boolean votesFor(final String proposerAddress, final List<String> proposerSeeds) {
        final VoterSet voterSet = environment.voterSet();
        if (voterSet != null) {
            sender.send(proposerAddress, new ConsensusMessage.VoterSetUpdate(voterSet));
            return false;
        }
        return mayVote && proposerSeeds.equals(seeds);
    }
}
