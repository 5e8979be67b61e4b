package spokestall.feed;

import java.util.List;
import spokestall.ballot.Voters;
import spokestall.listing.Listed;
import spokestall.listing.Report;
import spokestall.policy.Change;
import spokestall.policy.Snapshot;
import spokestall.view.Member;
import spokestall.wire.Note;

/** What followers and cores say to each other. */
public sealed interface FeedNote extends Note {
    /** Asks what is newest, and, of one core, for the news from two places on. */
    record FeedAsk(String from, Member self, boolean fresh, int open, long askId, boolean news, long place, long listingLife,
            long listingPlace) implements FeedNote {
    }

    /** One numbered change. */
    record Numbered(long version, Change change) {
    }

    /** The reply: what this voter knows to be newest, and news if it was asked for some. */
    record FeedBack(String name, String diskId, long askId, Voters table, boolean voting, long applied, long newest,
            List<Numbered> changes, Snapshot snapshot, List<Member> edges, long listingLife, long listingPlace,
            List<Listed> listed, List<Report> reports) implements FeedNote {
    }

    /** Says that a version was accepted, so that followers need not wait for their beat. */
    record FeedNews(long version) implements FeedNote {
    }
}
