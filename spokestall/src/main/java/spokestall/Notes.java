package spokestall;

import spokestall.ballot.BallotNote;
import spokestall.ballot.CouncilNote;
import spokestall.ballot.FormNote;
import spokestall.duty.UsageNote;
import spokestall.feed.FeedNote;
import spokestall.hand.HandNote;
import spokestall.listing.ListingNote;
import spokestall.view.ViewNote;
import spokestall.wire.Codec;

/** The numbers of all notes. A number is never given to another kind. */
final class Notes {
    private Notes() {}

    static void number() {
        Codec.number(1, ViewNote.Shuffle.class);
        Codec.number(10, BallotNote.Prepare.class);
        Codec.number(11, BallotNote.Promise.class);
        Codec.number(12, BallotNote.Accept.class);
        Codec.number(13, BallotNote.Accepted.class);
        Codec.number(14, BallotNote.Chosen.class);
        Codec.number(15, BallotNote.Table.class);
        Codec.number(16, BallotNote.CatchAsk.class);
        Codec.number(17, BallotNote.CatchBack.class);
        Codec.number(18, BallotNote.HoldAsk.class);
        Codec.number(19, BallotNote.HoldBack.class);
        Codec.number(20, FormNote.Standing.class);
        Codec.number(21, FormNote.FormPrepare.class);
        Codec.number(22, FormNote.FormPromise.class);
        Codec.number(23, FormNote.FormAccept.class);
        Codec.number(24, FormNote.FormAccepted.class);
        Codec.number(25, FormNote.Founded.class);
        Codec.number(26, FormNote.RemainsAsk.class);
        Codec.number(27, FormNote.RemainsBack.class);
        Codec.number(30, FeedNote.FeedAsk.class);
        Codec.number(31, FeedNote.FeedBack.class);
        Codec.number(32, FeedNote.FeedNews.class);
        Codec.number(33, FeedNote.ProofAsk.class);
        Codec.number(34, FeedNote.ProofBack.class);
        Codec.number(40, ListingNote.Push.class);
        Codec.number(51, UsageNote.CountAsk.class);
        Codec.number(52, UsageNote.CountBack.class);
        Codec.number(53, UsageNote.Counts.class);
        Codec.number(54, UsageNote.CountsHad.class);
        Codec.number(60, HandNote.Keep.class);
        Codec.number(61, HandNote.Ask.class);
        Codec.number(62, HandNote.Back.class);
        Codec.number(63, HandNote.Hint.class);
        Codec.number(70, CouncilNote.Ask.class);
        Codec.number(71, CouncilNote.Promise.class);
        Codec.number(72, CouncilNote.Offer.class);
        Codec.number(73, CouncilNote.Taken.class);
    }
}
