package spokestall.membership;

import java.util.List;
import spokestall.consensus.ProposalNumber;
import spokestall.message.Message;

/**
 * Messages of the vote on a fleet's first generation, between {@link BootstrapProposer} and {@link BootstrapAcceptor}. Written by
 * the order of their fields.
 */
public sealed interface BootstrapMessage extends Message {
    /** Phase one. A seed answers only if its own list of seeds is the same. */
    record Prepare(String from, List<String> seeds, ProposalNumber proposalNumber) implements BootstrapMessage {}

    /** The reply to {@link Prepare}; if granted, with the initial state that this seed accepted before, or null. */
    record Promise(
            String seed,
            ProposalNumber proposalNumber,
            boolean granted,
            ProposalNumber promised,
            ProposalNumber accepted,
            InitialState initialState)
            implements BootstrapMessage {}

    /** Phase two. */
    record Accept(String from, List<String> seeds, ProposalNumber proposalNumber, InitialState initialState)
            implements BootstrapMessage {}

    /** The reply to {@link Accept}. */
    record Accepted(String seed, ProposalNumber proposalNumber, boolean granted, ProposalNumber promised)
            implements BootstrapMessage {}
}
