package spokestall.membership;

import java.util.List;
import spokestall.consensus.Voter;

/** The largest simultaneous loss that the fleet is configured to survive. */
@FunctionalInterface
public interface ToleratedLoss {
    /** Returns how many of these voters that loss can take at the most. */
    int maxVotersLost(List<Voter> voters);
}
