package spokestall.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsTest {
    private static Map<String, String> good() {
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
    void allErrorsAreNamedAtOnceByTheirKey(@TempDir final Path folder) throws Exception {
        final Path file = folder.resolve("s.json");
        Files.writeString(
                file,
                "{\"name\":\"a b\",\"address\":\"localhost:7100\",\"leaseMs\":\"soon\",\"cores\":-1,"
                        + "\"colour\":\"red\",\"seeds\":\"10.0.0.1:7100\"}");
        final Settings.Read read = Settings.read(file, Map.of(), true);
        assertThat(read).isInstanceOf(Settings.Read.Bad.class);
        assertThat(((Settings.Read.Bad) read).errors())
                .extracting(Settings.ValidationError::key)
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
        assertThat(((Settings.Read.Bad) read).errors())
                .extracting(Settings.ValidationError::reason)
                .allSatisfy(r -> assertThat(r).isNotBlank());
    }

    @Test
    void flagsWinOverTheFileAndTogetherTheyMustFit(@TempDir final Path folder) throws Exception {
        final Path file = folder.resolve("s.json");
        Files.writeString(file, "{\"leaseMs\":3000}");
        final Map<String, String> flags = good();
        assertThat(((Settings.Read.Good) Settings.read(file, flags, true))
                        .settings()
                        .ms("leaseMs"))
                .isEqualTo(3000);
        flags.put("leaseMs", "2100");
        assertThat(((Settings.Read.Good) Settings.read(file, flags, true))
                        .settings()
                        .ms("leaseMs"))
                .isEqualTo(2100);
        flags.put("leaseMs", "500");
        flags.put("operators", "10.0.0.1:7200");
        assertThat(((Settings.Read.Bad) Settings.read(file, Map.of("peers", "10.0.0.0/33,x"), true)).errors())
                .filteredOn(t -> t.key().equals("peers"))
                .hasSize(2);
        flags.put("district", "d9");
        flags.put("data", "");
        assertThat(((Settings.Read.Bad) Settings.read(file, flags, true)).errors())
                .extracting(Settings.ValidationError::key)
                .containsExactlyInAnyOrder("operators", "leaseMs", "district", "data");
    }

    @Test
    void aFleetThatIsNotToldItsCoresMayHaveFewerSeedsAndAFirstStart() {
        final Map<String, String> flags = good();
        flags.putAll(Map.of("cores", "0", "edges", "0", "bootstrap", "1", "seeds", "10.0.0.1:7100"));
        assertThat(((Settings.Read.Good) Settings.read(null, flags, true))
                        .settings()
                        .seeds())
                .hasSize(1);
        flags.put("cores", "3");
        assertThat(((Settings.Read.Bad) Settings.read(null, flags, true)).errors())
                .extracting(Settings.ValidationError::key)
                .contains("seeds");
        flags.put("seeds", good().get("seeds"));
        assertThat(((Settings.Read.Bad) Settings.read(null, flags, true)).errors())
                .extracting(Settings.ValidationError::key)
                .containsExactly("bootstrap");
        flags.putAll(Map.of("cores", "0", "seeds", "10.0.0.1:7100,10.0.0.1:7100"));
        assertThat(((Settings.Read.Bad) Settings.read(null, flags, true)).errors())
                .extracting(Settings.ValidationError::key)
                .containsExactly("seeds");
    }

    @Test
    void whatIsNotGivenIsAPartOfItsBoundAndProofsMustFitTheirs() {
        final Map<String, String> flags = good();
        final Settings plain = ((Settings.Read.Good) Settings.read(null, flags, true)).settings();
        assertThat(plain.ms("proofMs")).isEqualTo(400);
        assertThat(plain.ms("freshMs")).isEqualTo(1000);
        assertThat(plain.ms("countPushMs")).isEqualTo(50);
        assertThat(plain.ms("uncountedMs")).isEqualTo(200);
        assertThat(plain.ms("listMs")).isEqualTo(1000);
        flags.put("keyBoundMs", "10000");
        flags.put("uncountedMs", "0");
        final Settings other = ((Settings.Read.Good) Settings.read(null, flags, true)).settings();
        assertThat(other.ms("proofMs")).isEqualTo(800);
        assertThat(other.ms("uncountedMs")).isZero();
        flags.put("freshMs", "1000");
        flags.put("uncountedMs", "60");
        assertThat(((Settings.Read.Bad) Settings.read(null, flags, true)).errors())
                .extracting(Settings.ValidationError::key)
                .containsExactlyInAnyOrder("freshMs", "uncountedMs");
    }
}
