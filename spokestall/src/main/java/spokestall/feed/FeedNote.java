package spokestall.feed;

import java.util.List;
import spokestall.ballot.Voters;
import spokestall.listing.Listed;
import spokestall.listing.Report;
import spokestall.policy.Change;
import spokestall.policy.Snapshot;
import spokestall.view.Member;
import spokestall.wire.Note;
import spokestall.wire.Since;

/** What followers and cores say to each other. */
public sealed interface FeedNote extends Note {
    /** Asks what is newest, and, of one core, for the news from two places on. It says what the asker has already: the table
     * of voters and the list of edges (by its mark), which are then left out of the reply; zero when it has none. */
    record FeedAsk(
            String from,
            Member self,
            boolean fresh,
            int open,
            long askId,
            boolean news,
            long place,
            long listingLife,
            long listingPlace,
            @Since(3) long generation,
            @Since(3) long epoch,
            @Since(3) long edgesMark)
            implements FeedNote {}

    /** One numbered change. */
    record Numbered(long version, Change change) {}

    /** The reply: what this voter knows to be newest, and news if it was asked for some. The table is null if the asker has
     * it; edges are left out if brief. */
    record FeedBack(
            String name,
            String diskId,
            long askId,
            Voters table,
            boolean voting,
            long applied,
            long newest,
            List<Numbered> changes,
            Snapshot snapshot,
            List<Member> edges,
            long listingLife,
            long listingPlace,
            List<Listed> listed,
            List<Report> reports,
            @Since(3) long generation,
            @Since(3) long epoch,
            @Since(3) boolean brief,
            @Since(3) long edgesMark)
            implements FeedNote {}

    /** Says that a version was accepted, and how it changes the one before unless that is large, so that followers need
     * not wait for their beat. */
    record FeedNews(long version, @Since(3) byte[] change) implements FeedNote {}

    /** Asks for a proof alone. Nodes that serve callers are known by their address and life. */
    record ProofAsk(
            String from,
            long life,
            boolean serves,
            boolean fresh,
            boolean leaving,
            int open,
            long askId,
            long generation,
            long epoch)
            implements FeedNote {}

    /** The reply to {@link ProofAsk}: what is newest here, by which disk (its mark) and in which table, and by how many
     * versions this node's own is behind. A stranger is asked to say who it is. */
    record ProofBack(
            String name,
            long askId,
            long generation,
            long epoch,
            long diskMark,
            boolean voting,
            boolean stranger,
            long newest,
            long behind)
            implements FeedNote {}
}
