package spokestall.ballot;

import java.util.List;
import spokestall.wire.Note;

/** What founders and seeds say to each other about the first generation. */
public sealed interface CouncilNote extends Note {
    /** Phase one: a founder asks a seed, and says whom it takes for the seeds. */
    record Ask(String from, List<String> seeds, Ballot ballot) implements CouncilNote {}

    /** The reply to {@link Ask}; yes with what this seed accepted, if anything. */
    record Promise(String seed, Ballot ballot, boolean yes, Ballot promised, Ballot accepted, Founding founding)
            implements CouncilNote {}

    /** Phase two. */
    record Offer(String from, List<String> seeds, Ballot ballot, Founding founding) implements CouncilNote {}

    /** The reply to {@link Offer}. */
    record Taken(String seed, Ballot ballot, boolean yes, Ballot promised) implements CouncilNote {}
}
