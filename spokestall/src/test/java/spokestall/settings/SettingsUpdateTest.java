package spokestall.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingsUpdateTest {
    private static Settings settings(final Map<String, String> more) {
        final Map<String, String> all = new HashMap<>(Map.of(
                "name", "d1-core",
                "address", "10.0.0.1:7100",
                "http", "10.0.0.1:7200",
                "district", "d1",
                "districts", "d1=r1,d2=r2",
                "seeds", "10.0.0.1:7100,10.0.0.2:7100,10.0.0.3:7100",
                "platform", "10.0.9.1:80",
                "data", "data"));
        all.putAll(more);
        return ((Settings.Read.Good) Settings.read(null, all, true)).settings();
    }

    @Test
    void whatARunningNodeCanChangeIsTakenAndTheRestWaits() {
        final String seeds = "10.0.0.4:7100,10.0.0.2:7100,10.0.0.3:7100";
        final Settings newer = settings(Map.of("seeds", seeds, "retryShare", "0.1", "leaseMs", "3000"));
        final SettingsUpdate renewal = SettingsUpdate.of(settings(Map.of()), newer, true);
        assertThat(renewal.taken()).containsExactly("retryShare", "seeds");
        assertThat(renewal.waiting()).containsExactly("leaseMs");
        assertThat(renewal.settings().text("seeds")).isEqualTo(seeds);
        assertThat(renewal.settings().number("retryShare")).isEqualTo(0.1);
        assertThat(renewal.settings().ms("leaseMs")).isEqualTo(2000);
    }

    @Test
    void aValueThatDoesNotFitWhatStaysInForceWaits() {
        final Settings inForce = settings(Map.of());
        final Settings newer = settings(Map.of("proofMs", "50", "freshMs", "100", "whereS", "3"));
        final SettingsUpdate renewal = SettingsUpdate.of(inForce, newer, true);
        assertThat(renewal.taken()).containsExactly("whereS");
        assertThat(renewal.waiting()).containsExactly("freshMs", "proofMs");
        assertThat(renewal.settings().ms("freshMs")).isEqualTo(inForce.ms("freshMs"));
    }

    @Test
    void settingsThatAreTheSameChangeNothing() {
        final SettingsUpdate renewal = SettingsUpdate.of(settings(Map.of()), settings(Map.of()), true);
        assertThat(renewal.taken()).isEmpty();
        assertThat(renewal.waiting()).isEmpty();
    }
}
