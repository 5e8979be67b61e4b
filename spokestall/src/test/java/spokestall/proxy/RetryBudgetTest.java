package spokestall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    @Test
    void retriesStayWithinRatioAndAllowanceInEveryIntervalWhileTheFleetGrows() {
        final Random random = new Random(11);
        for (int round = 0; round < 200; round++) {
            final int[] sharingEdges = {1 + random.nextInt(4)};
            final double first = 40.0 / sharingEdges[0];
            final RetryBudget budget = new RetryBudget(() -> 0.2, () -> 40.0 / sharingEdges[0]);
            final int[] requests = new int[501];
            final int[] retries = new int[501];
            for (int n = 1; n <= 500; n++) {
                requests[n] = requests[n - 1];
                retries[n] = retries[n - 1];
                if (random.nextInt(3) > 0) {
                    budget.onRequest();
                    requests[n]++;
                } else if (budget.tryAcquire()) {
                    retries[n]++;
                }
                sharingEdges[0] += random.nextInt(50) == 0 ? 1 : 0;
            }
            for (int from = 0; from < 500; from += 7) {
                for (int to = from + 1; to <= 500; to += 11) {
                    assertThat(retries[to] - retries[from])
                            .isLessThanOrEqualTo((int) (first + 0.2 * (requests[to] - requests[from]) + 1e-6));
                }
            }
        }
    }
}
