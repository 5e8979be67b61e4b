package spokestall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ConcurrencyLimiterTest {
    private record Held(String tenant, long bytes) {}

    /** Tenants that compete for all capacity never exceed the limits and leave capacity for a tenant that holds none. */
    @Test
    void greedyTenantsLeaveCapacityForAnotherTenant() {
        final Random random = new Random(3);
        for (int round = 0; round < 200; round++) {
            final int greedy = 1 + random.nextInt(6);
            final ConcurrencyLimiter limiter = new ConcurrencyLimiter(100, 1_000_000);
            final List<Held> held = new ArrayList<>();
            for (int i = 0; i < 2000; i++) {
                final String tenant = "greedy-" + random.nextInt(greedy);
                final long bytes = random.nextInt(20_000);
                if (limiter.tryAcquire(tenant, bytes)) {
                    held.add(new Held(tenant, bytes));
                }
                if (random.nextInt(50) == 0 && !held.isEmpty()) {
                    final Held one = held.remove(random.nextInt(held.size()));
                    limiter.release(one.tenant);
                    limiter.adjustHeldBytes(one.tenant, -one.bytes);
                }
                assertThat(limiter.requests()).isEqualTo(held.size()).isLessThanOrEqualTo(100);
                assertThat(limiter.bytes())
                        .isEqualTo(held.stream().mapToLong(Held::bytes).sum())
                        .isLessThanOrEqualTo(1_000_000);
            }
            assertThat(limiter.requests()).as("permits in use").isGreaterThan(40);
            assertThat(limiter.tryAcquire("small", 20_000))
                    .as("capacity for another tenant; greedy tenants: " + greedy)
                    .isTrue();
        }
    }
}
