package spokestall.membership;

import java.util.List;
import spokestall.consensus.Voter;

/** Builds the state that a new generation starts from. */
@FunctionalInterface
public interface InitialStateMerger {
    /**
     * Merges the surviving states into the initial state of a new generation. The generation's number is above every generation,
     * configuration version and fencing token among the survivors.
     *
     * @param baseGeneration generation that the new one succeeds, or 0 if the new one is the first
     * @param survivors surviving state of every node that reported it; a node may occur twice
     * @param voters voters of the new generation
     */
    InitialState merge(long baseGeneration, List<SurvivingState> survivors, List<Voter> voters);
}
