package spokestall.membership;

import java.util.List;
import spokestall.consensus.ProposalNumber;
import spokestall.message.Message;

/** What founders and seeds say to each other about the first generation. */
public sealed interface BootstrapMessage extends Message {
    /** Phase one: a founder asks a seed, and says whom it takes for the seeds. */
    record Ask(String from, List<String> seeds, ProposalNumber ballot) implements BootstrapMessage {}

    /** The reply to {@link Ask}; yes with what this seed accepted, if anything. */
    record Promise(
            String seed,
            ProposalNumber ballot,
            boolean yes,
            ProposalNumber promised,
            ProposalNumber accepted,
            InitialState founding)
            implements BootstrapMessage {}

    /** Phase two. */
    record Offer(String from, List<String> seeds, ProposalNumber ballot, InitialState founding)
            implements BootstrapMessage {}

    /** The reply to {@link Offer}. */
    record Taken(String seed, ProposalNumber ballot, boolean yes, ProposalNumber promised)
            implements BootstrapMessage {}
}
