package spokestall.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import spokestall.api.CallRegistry;

class ConfigurationValidatorTest {
    private static final ConfigurationValidator VALIDATOR = new ConfigurationValidator(
            new CallRegistry().schema().at("/$defs/policy"), Set.of("r1", "r2"), Set.of("d1"));

    private static ObjectNode configuration() {
        final ObjectNode configuration = ConfigurationStore.JSON.createObjectNode();
        final ObjectNode cells = configuration.putObject("cells");
        for (int i = 0; i < 4; i++) {
            final ObjectNode t = cells.putObject("c" + i).putObject("tenants").putObject("t" + i);
            t.putArray("homeRegions").add("r1");
            t.putObject("keys").putObject("k").put("sha256", KeyHash.of("key-" + i));
            t.putObject("bindings").putObject("b").put("path", "/b" + i).put("service", "s");
        }
        configuration.putObject("services").putObject("s");
        return configuration;
    }

    private static JsonNode patch(final Random random) {
        final ObjectNode patch = ConfigurationStore.JSON.createObjectNode();
        final int i = random.nextInt(4);
        final ObjectNode t = patch.putObject("cells")
                .putObject("c" + i)
                .putObject("tenants")
                .putObject("t" + (random.nextInt(9) == 0 ? 9 : i));
        switch (random.nextInt(12)) {
            case 0 -> t.putArray("homeRegions").add(random.nextBoolean() ? "r2" : "nowhere");
            case 1 ->
                t.putObject("keys")
                        .putObject("n" + random.nextInt(3))
                        .put("sha256", KeyHash.of("key-" + random.nextInt(6)));
            case 2 -> t.putObject("bindings").putNull("b");
            case 3 -> patch.putObject("services").putNull("s");
            case 4 -> patch.putObject("services").putObject("s").put("goMs", random.nextInt(20));
            case 5 -> patch.putObject("holds").putObject(random.nextBoolean() ? "d1" : "d9");
            case 6 -> t.put("colour", "red");
            case 7 -> t.putNull("homeRegions");
            case 8 ->
                t.set("bindings", ConfigurationStore.JSON.createObjectNode().put("x", 1));
            default ->
                t.putObject("bindings")
                        .putObject("b" + random.nextInt(3))
                        .put("path", random.nextInt(6) == 0 ? "/a/../b" : "/b" + random.nextInt(6))
                        .put("service", random.nextInt(8) == 0 ? "none" : "s");
        }
        return patch;
    }

    /** The result must not depend on the configuration that was validated before. */
    @Test
    void incrementalValidationAcceptsTheSameAsCompleteValidation() {
        final Random random = new Random(4);
        JsonNode valid = configuration();
        final JsonNode nothing = ConfigurationStore.JSON.createObjectNode();
        int accepted = 0;
        int rejected = 0;
        for (int i = 0; i < 3000; i++) {
            final JsonNode after = MergePatch.apply(valid, patch(random));
            final var complete = VALIDATOR.check(after, nothing);
            final var incremental = VALIDATOR.check(after, valid);
            assertThat(incremental.isEmpty())
                    .as(after + " " + complete + " " + incremental)
                    .isEqualTo(complete.isEmpty());
            if (complete.isEmpty()) {
                valid = random.nextInt(20) == 0 ? configuration() : after;
                accepted++;
            } else {
                rejected++;
            }
        }
        assertThat(accepted).isGreaterThan(300);
        assertThat(rejected).isGreaterThan(300);
    }
}
