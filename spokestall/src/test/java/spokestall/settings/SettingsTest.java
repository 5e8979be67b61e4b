package spokestall.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsTest {
    private static Map<String, String> validSettings() {
        return new HashMap<>(Map.of(
                "name",
                "d1-core",
                "address",
                "10.0.0.1:7100",
                "http",
                "10.0.0.1:7200",
                "district",
                "d1",
                "districts",
                "d1=r1,d2=r2",
                "seeds",
                "10.0.0.1:7100,10.0.0.2:7100,10.0.0.3:7100",
                "platform",
                "10.0.9.1:80",
                "data",
                "data"));
    }

    @Test
    void allErrorsAreReportedTogetherByTheirKeys(@TempDir final Path folder) throws Exception {
        final Path file = folder.resolve("s.json");
        Files.writeString(
                file,
                "{\"name\":\"a b\",\"address\":\"localhost:7100\",\"leaseMs\":\"soon\",\"cores\":-1,"
                        + "\"colour\":\"red\",\"seeds\":\"10.0.0.1:7100\"}");
        final SettingsResult read = SettingsReader.read(file, Map.of(), true);
        assertThat(read).isInstanceOf(SettingsResult.Invalid.class);
        assertThat(((SettingsResult.Invalid) read).errors())
                .extracting(SettingsError::key)
                .contains(
                        "name",
                        "address",
                        "leaseMs",
                        "cores",
                        "colour",
                        "seeds",
                        "district",
                        "districts",
                        "platform",
                        "http");
        assertThat(((SettingsResult.Invalid) read).errors())
                .extracting(SettingsError::reason)
                .allSatisfy(r -> assertThat(r).isNotBlank());
    }

    @Test
    void flagsOverrideTheFileAndAllValuesAreCheckedTogether(@TempDir final Path folder) throws Exception {
        final Path file = folder.resolve("s.json");
        Files.writeString(file, "{\"leaseMs\":3000}");
        final Map<String, String> flags = validSettings();
        assertThat(((SettingsResult.Valid) SettingsReader.read(file, flags, true))
                        .settings()
                        .integer("leaseMs"))
                .isEqualTo(3000);
        flags.put("leaseMs", "2100");
        assertThat(((SettingsResult.Valid) SettingsReader.read(file, flags, true))
                        .settings()
                        .integer("leaseMs"))
                .isEqualTo(2100);
        flags.put("leaseMs", "500");
        flags.put("operators", "10.0.0.1:7200");
        assertThat(((SettingsResult.Invalid) SettingsReader.read(file, Map.of("peers", "10.0.0.0/33,x"), true))
                        .errors())
                .filteredOn(t -> t.key().equals("peers"))
                .hasSize(2);
        flags.put("district", "d9");
        flags.put("data", "");
        assertThat(((SettingsResult.Invalid) SettingsReader.read(file, flags, true)).errors())
                .extracting(SettingsError::key)
                .containsExactlyInAnyOrder("operators", "leaseMs", "district", "data");
    }

    @Test
    void aFleetWithoutConfiguredCoresMayHaveFewerSeedsAndBootstrap() {
        final Map<String, String> flags = validSettings();
        flags.putAll(Map.of("cores", "0", "edges", "0", "bootstrap", "1", "seeds", "10.0.0.1:7100"));
        assertThat(((SettingsResult.Valid) SettingsReader.read(null, flags, true))
                        .settings()
                        .seeds())
                .hasSize(1);
        flags.put("cores", "3");
        assertThat(((SettingsResult.Invalid) SettingsReader.read(null, flags, true)).errors())
                .extracting(SettingsError::key)
                .contains("seeds");
        flags.put("seeds", validSettings().get("seeds"));
        assertThat(((SettingsResult.Invalid) SettingsReader.read(null, flags, true)).errors())
                .extracting(SettingsError::key)
                .containsExactly("bootstrap");
        flags.putAll(Map.of("cores", "0", "seeds", "10.0.0.1:7100,10.0.0.1:7100"));
        assertThat(((SettingsResult.Invalid) SettingsReader.read(null, flags, true)).errors())
                .extracting(SettingsError::key)
                .containsExactly("seeds");
    }

    @Test
    void unsetDurationsDefaultToFractionsOfTheirBoundsAndAreChecked() {
        final Map<String, String> flags = validSettings();
        final Settings plain = ((SettingsResult.Valid) SettingsReader.read(null, flags, true)).settings();
        assertThat(plain.integer("proofMs")).isEqualTo(400);
        assertThat(plain.integer("freshMs")).isEqualTo(1000);
        assertThat(plain.integer("countPushMs")).isEqualTo(50);
        assertThat(plain.integer("uncountedMs")).isEqualTo(200);
        assertThat(plain.integer("listMs")).isEqualTo(1000);
        flags.put("keyBoundMs", "10000");
        flags.put("uncountedMs", "0");
        final Settings other = ((SettingsResult.Valid) SettingsReader.read(null, flags, true)).settings();
        assertThat(other.integer("proofMs")).isEqualTo(800);
        assertThat(other.integer("uncountedMs")).isZero();
        flags.put("freshMs", "1000");
        flags.put("uncountedMs", "60");
        assertThat(((SettingsResult.Invalid) SettingsReader.read(null, flags, true)).errors())
                .extracting(SettingsError::key)
                .containsExactlyInAnyOrder("freshMs", "uncountedMs");
    }
}
