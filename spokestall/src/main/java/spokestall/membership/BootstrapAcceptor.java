package spokestall.membership;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageSender;

/**
 * A seed's vote on the first generation, on a core or on an edge. It is kept in memory only. That is enough, since only
 * a life that was told it is the fleet's very first one, on a blank disk if it has one, ever votes: what a seed forgets
 * by a restart it is never asked about again.
 */
public final class BootstrapAcceptor {
    private final String address;
    private final List<String> seeds;
    private final boolean first;
    private final MessageSender post;
    private final Supplier<VoterSet> table;
    private final Consumer<Runnable> marked;
    private ProposalNumber promised = ProposalNumber.NONE;
    private ProposalNumber accepted = ProposalNumber.NONE;
    private InitialState founding;

    /** {@code first}: this life may vote; {@code marked} runs what it is given once the disk, if there is one, can't be
     * taken for blank any more. */
    public BootstrapAcceptor(
            final String address,
            final List<String> seeds,
            final boolean first,
            final MessageSender post,
            final Supplier<VoterSet> table,
            final Consumer<Runnable> marked) {
        this.address = address;
        this.seeds = seeds.stream().sorted().distinct().toList();
        this.first = first && seeds.contains(address);
        this.post = post;
        this.table = table;
        this.marked = marked;
    }

    /** Hears a founder. */
    public void hear(final BootstrapMessage message) {
        if (message instanceof BootstrapMessage.Prepare ask && mayVote(ask.from(), ask.seeds())) {
            final boolean yes = ask.proposalNumber().compareTo(promised) >= 0;
            promised = yes ? ask.proposalNumber() : promised;
            final BootstrapMessage.Promise reply = new BootstrapMessage.Promise(
                    address, ask.proposalNumber(), yes, promised, accepted, yes ? founding : null);
            marked.accept(() -> post.send(ask.from(), reply));
        } else if (message instanceof BootstrapMessage.Accept offer && mayVote(offer.from(), offer.seeds())) {
            final boolean yes = offer.proposalNumber().compareTo(promised) >= 0;
            if (yes) {
                promised = offer.proposalNumber();
                accepted = offer.proposalNumber();
                founding = offer.founding();
            }
            final BootstrapMessage.Accepted reply =
                    new BootstrapMessage.Accepted(address, offer.proposalNumber(), yes, promised);
            marked.accept(() -> post.send(offer.from(), reply));
        }
    }

    /** Whoever asks after the founding is told of it; whoever goes by other seeds gets nothing. */
    private boolean mayVote(final String from, final List<String> asked) {
        if (table.get() != null) {
            post.send(from, new ConsensusMessage.VoterSetUpdate(table.get()));
            return false;
        }
        return first && asked.equals(seeds);
    }
}
