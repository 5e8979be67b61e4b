package spokestall.membership;

import java.util.List;
import spokestall.consensus.Voter;

/** The largest simultaneous loss that the fleet is configured to survive. */
@FunctionalInterface
public interface ToleratedLoss {
    /** Returns the maximum number of these voters that this loss can affect. */
    int maxVotersLost(List<Voter> voters);
}
