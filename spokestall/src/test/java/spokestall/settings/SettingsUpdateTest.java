package spokestall.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingsUpdateTest {
    private static Settings settings(final Map<String, String> overrides) {
        final Map<String, String> all = new HashMap<>(Map.of(
                "name", "d1-core",
                "address", "10.0.0.1:7100",
                "http", "10.0.0.1:7200",
                "district", "d1",
                "districts", "d1=r1,d2=r2",
                "seeds", "10.0.0.1:7100,10.0.0.2:7100,10.0.0.3:7100",
                "platform", "10.0.9.1:80",
                "data", "data"));
        all.putAll(overrides);
        return ((SettingsResult.Valid) SettingsReader.read(null, all, true)).settings();
    }

    @Test
    void reloadableValuesAreAppliedAndOthersArePending() {
        final String seeds = "10.0.0.4:7100,10.0.0.2:7100,10.0.0.3:7100";
        final Settings newer = settings(Map.of("seeds", seeds, "retryShare", "0.1", "leaseMs", "3000"));
        final SettingsUpdate update = SettingsUpdate.of(settings(Map.of()), newer, true);
        assertThat(update.applied()).containsExactly("retryShare", "seeds");
        assertThat(update.pending()).containsExactly("leaseMs");
        assertThat(update.settings().text("seeds")).isEqualTo(seeds);
        assertThat(update.settings().number("retryShare")).isEqualTo(0.1);
        assertThat(update.settings().integer("leaseMs")).isEqualTo(2000);
    }

    @Test
    void aReloadableValueThatConflictsWithAValueInForceIsPending() {
        final Settings inForce = settings(Map.of());
        final Settings newer = settings(Map.of("proofMs", "50", "freshMs", "100", "whereS", "3"));
        final SettingsUpdate update = SettingsUpdate.of(inForce, newer, true);
        assertThat(update.applied()).containsExactly("whereS");
        assertThat(update.pending()).containsExactly("freshMs", "proofMs");
        assertThat(update.settings().integer("freshMs")).isEqualTo(inForce.integer("freshMs"));
    }

    @Test
    void equalSettingsChangeNothing() {
        final SettingsUpdate update = SettingsUpdate.of(settings(Map.of()), settings(Map.of()), true);
        assertThat(update.applied()).isEmpty();
        assertThat(update.pending()).isEmpty();
    }
}
