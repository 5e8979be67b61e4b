package spokestall.membership;

import java.util.List;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageSender;

/**
 * A seed's vote on the first generation, on a core or on an edge.
 *
 * <p>What it promised and accepted is kept in memory only. That is sufficient because only an incarnation that was configured as
 * the fleet's first, with a blank disk if it has one, ever votes: a later incarnation gives no vote that could contradict what this one forgot. For the
 * same reason a reply leaves only after the disk, if there is one, is durably marked as used.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class BootstrapAcceptor {
    /** Whether this incarnation may vote. */
    public enum Eligibility {
        /** It was configured as the fleet's first and its disk, if it has one, was blank. */
        FIRST_INCARNATION,
        /** An earlier incarnation may have voted. */
        LATER_INCARNATION
    }

    /** What the acceptor needs of the node around it. */
    public interface Environment {
        /** The voter set that this node knows, or null. */
        VoterSet voterSet();

        /** Runs the action once the disk, if there is one, can no longer be taken for blank. */
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

    /** Creates the acceptor of the node at this address; it votes only if that is one of the seeds. */
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

    /** Handles a proposer's message; replies of other seeds are ignored. */
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

    /** A proposer that is late is sent the voter set; one with other seeds gets no reply. */
    private boolean votesFor(final String proposerAddress, final List<String> proposerSeeds) {
        final VoterSet voterSet = environment.voterSet();
        if (voterSet != null) {
            sender.send(proposerAddress, new ConsensusMessage.VoterSetUpdate(voterSet));
            return false;
        }
        return mayVote && proposerSeeds.equals(seeds);
    }
}
