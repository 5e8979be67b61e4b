package spokestall.io.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class IdleLimitTest {
    @Test
    void appliesALoweredLimitAfterThePreviousOneHasElapsed() {
        final IdleLimit limit = new IdleLimit(15_000, 0);
        limit.change(3000, 100_000);
        assertThat(limit.currentMs(100_000)).isEqualTo(15_000);
        assertThat(limit.currentMs(114_999)).isEqualTo(15_000);
        assertThat(limit.currentMs(115_000)).isEqualTo(3000);
    }

    @Test
    void appliesARaisedLimitAtOnce() {
        final IdleLimit limit = new IdleLimit(3000, 0);
        limit.change(15_000, 1000);
        assertThat(limit.currentMs(1000)).isEqualTo(15_000);
    }

    @Test
    void keepsTheLongestOfSeveralSuccessiveLimits() {
        final IdleLimit limit = new IdleLimit(15_000, 0);
        limit.change(8000, 100_000);
        limit.change(2000, 101_000);
        limit.change(2000, 110_000);
        assertThat(limit.currentMs(115_999)).isEqualTo(15_000);
        assertThat(limit.currentMs(116_000)).isEqualTo(2000);
    }
}
