package spokestall.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import spokestall.api.CallRegistry;
import spokestall.testsupport.GoldenFile;

/** Tests the native configuration format: the meaning of each field, and the errors that are reported. */
class ConfigurationFormatTest {
    private static final ConfigurationValidator VALIDATOR = new ConfigurationValidator(
            new CallRegistry().schema().at("/$defs/policy"), Set.of("r1", "r2"), Set.of("d1", "d2"));
    private static final NativeConfigurationFormat FORMAT = new NativeConfigurationFormat(VALIDATOR);
    private static final String KEY_HASH = "8ae87d5cf3a5c7a0dc57ccb0d7ca2e4ee7ac7a24d6fdbc2b3f2ce0dfdfab5ed1";

    private static Configuration configuration() {
        return FORMAT.read(17, GoldenFile.json("policy.json"), null);
    }

    private static List<String> errors(final String file) {
        final List<String> errors = new ArrayList<>();
        FORMAT.check(GoldenFile.json(file), GoldenFile.parsed("{}"))
                .forEach(error -> errors.add(error.pointer() + " " + error.reason()));
        return errors;
    }

    @Test
    void configurationWithEveryFieldIsValid() {
        assertThat(errors("policy.json")).isEmpty();
    }

    @Test
    void configurationIsStoredWithoutModification() {
        final JsonNode expected = GoldenFile.json("policy.json");
        assertThat(configuration().tree()).isEqualTo(expected);
        final ConfigurationStore configurationStore = new ConfigurationStore(8, FORMAT);
        final byte[] encoded = GoldenFile.text("policy.json").getBytes(StandardCharsets.UTF_8);
        configurationStore.apply(1, new ConfigurationChange("change-1", ConfigurationChange.Kind.PUT, encoded, 0));
        assertThat(configurationStore.configuration().tree()).isEqualTo(expected);
        final String stored = new String(configurationStore.snapshot().json(), StandardCharsets.UTF_8);
        assertThat(stored).isEqualTo(expected.toString());
    }

    @Test
    void tenantsAndTheirRoutesAreRead() {
        final Configuration configuration = configuration();
        assertThat(configuration.tenants()).containsOnlyKeys("tenant-1", "tenant-2", "tenant-3");
        final Tenant tenant = configuration.tenantOf(KEY_HASH);
        assertThat(tenant.name()).isEqualTo("tenant-1");
        assertThat(tenant.cell()).isEqualTo("cell-1");
        assertThat(tenant.homeRegions()).containsExactlyInAnyOrder("r1", "r2");
        assertThat(tenant.keyHashes()).hasSize(2);
        assertThat(tenant.priority(9)).isEqualTo(3);
        assertThat(configuration.tenants().get("tenant-2").priority(9)).isEqualTo(9);
        final Route pay = tenant.route("/pay/17");
        assertThat(pay.name()).isEqualTo("pay");
        assertThat(pay.split()).containsExactly(new Route.Share("transfers", 1));
        assertThat(pay.runOnce()).isTrue();
    }

    @Test
    void sharedRoutesAreRead() {
        final Route shared =
                configuration().resolve("a.example", "/records/1", KEY_HASH).route();
        assertThat(shared)
                .isEqualTo(new Route(
                        "shared-service",
                        "a.example",
                        "/records/",
                        List.of(new Route.Share("records", 1)),
                        true,
                        2,
                        2500,
                        600,
                        4,
                        true,
                        Set.of("r2")));
        assertThat(configuration().resolve("", "/split", KEY_HASH).route().split())
                .containsExactly(new Route.Share("records", 90), new Route.Share("transfers", 10));
    }

    @Test
    void servicesLimitsAndDrainedZonesAreRead() {
        final Configuration configuration = configuration();
        assertThat(configuration.service("records"))
                .isEqualTo(new ServiceLimits("records", 1000, 2000, 300, 4000, 5.5));
        assertThat(configuration.service("transfers"))
                .as("defaults")
                .isEqualTo(new ServiceLimits("transfers", 65_536, 262_144, 2000, 10_000, 10));
        assertThat(configuration.limits()).isEqualTo(new ClientLimits(8192, 3000, 15_000));
        assertThat(configuration.drainedZones()).containsExactlyInAnyOrder("d1", "d2");
    }

    @Test
    void semanticErrorsHavePointersAndReasons() {
        assertThat(errors("policy-broken.json")).isEqualTo(GoldenFile.lines("policy-broken-troubles.txt"));
    }

    @Test
    void schemaViolationsHavePointers() {
        final List<String> pointers = new ArrayList<>();
        FORMAT.check(GoldenFile.json("policy-not-of-the-schema.json"), GoldenFile.parsed("{}"))
                .forEach(error -> pointers.add(error.pointer()));
        assertThat(pointers)
                .containsExactlyInAnyOrder(
                        "/cells/cell-1/tenants/tenant-1",
                        "/cells/cell-1/tenants/tenant-1/homeRegions",
                        "/services/records/goMs");
    }

    @Test
    void keyHashIsTheHexSha256() {
        assertThat(KeyHash.of("abc")).isEqualTo("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    }
}
