package spokestall.edge;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntSupplier;
import spokestall.ballot.Proposer;
import spokestall.duty.UsageCounter;
import spokestall.feed.Follower;
import spokestall.hand.Shelf;
import spokestall.policy.Book;
import spokestall.time.Clock;
import spokestall.time.FleetClock;
import spokestall.view.Member;
import spokestall.wire.Post;

/** What an edge works with: itself, the policy and its proof, the store of claims, upstreams, and time; sharers are the edges
 * that shared bounds are divided among. */
public record Parts(
        Member self,
        Book book,
        Follower follower,
        Proposer proposer,
        Elector elector,
        Upstreams upstreams,
        UsageCounter counter,
        Shelf shelf,
        Post post,
        Clock clock,
        FleetClock fleet,
        Random random,
        IntSupplier sharers,
        Function<Set<String>, List<String>> homeCores) {}
