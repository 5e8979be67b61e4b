package spokestall.membership;

import java.util.List;
import spokestall.consensus.ProposalNumber;
import spokestall.message.Message;

/**
 * Messages between {@link BootstrapProposer} and {@link BootstrapAcceptor} in the vote on a fleet's first generation. Written by
 * the order of their fields.
 */
public sealed interface BootstrapMessage extends Message {
    /** Request of phase one. A seed replies only if it is configured with the same list of seeds. */
    record Prepare(String from, List<String> seeds, ProposalNumber proposalNumber) implements BootstrapMessage {}

    /**
     * Reply to {@link Prepare}. A granted promise carries the initial state that the seed has accepted already, or null if it has
     * accepted none.
     */
    record Promise(
            String seed,
            ProposalNumber proposalNumber,
            boolean granted,
            ProposalNumber promised,
            ProposalNumber accepted,
            InitialState initialState)
            implements BootstrapMessage {}

    /** Request of phase two. */
    record Accept(String from, List<String> seeds, ProposalNumber proposalNumber, InitialState initialState)
            implements BootstrapMessage {}

    /** Reply to {@link Accept}. */
    record Accepted(String seed, ProposalNumber proposalNumber, boolean granted, ProposalNumber promised)
            implements BootstrapMessage {}
}
