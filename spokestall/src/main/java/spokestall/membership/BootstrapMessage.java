package spokestall.membership;

import java.util.List;
import spokestall.consensus.ProposalNumber;
import spokestall.message.Message;

/** What founders and seeds say to each other about the first generation. */
public sealed interface BootstrapMessage extends Message {
    /** Phase one: a founder asks a seed, and says whom it takes for the seeds. */
    record Prepare(String from, List<String> seeds, ProposalNumber proposalNumber) implements BootstrapMessage {}

    /** The reply to {@link Prepare}; yes with what this seed accepted, if anything. */
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
