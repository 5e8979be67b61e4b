package spokestall.membership;

import java.util.List;
import spokestall.consensus.Voter;

/** Builds the state that a new generation starts from. */
@FunctionalInterface
public interface InitialStateMerger {
    /**
     * Merges what survived into the initial state of a generation numbered above everything that survived.
     *
     * @param baseGeneration the generation that the new one follows, 0 for the first
     * @param survivors surviving state of every node that reported any; a node may occur twice
     * @param voters voters of the new generation
     */
    InitialState merge(long baseGeneration, List<SurvivingState> survivors, List<Voter> voters);
}
