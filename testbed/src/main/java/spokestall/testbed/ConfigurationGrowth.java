package spokestall.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import java.util.function.Supplier;
import spokestall.api.CallRegistry;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.ConfigurationValidator;
import spokestall.message.MessageCodec;

/** What one more binding costs a core and the feed, against how many there are. */
final class ConfigurationGrowth {
    private static final int TURNS = 41;

    private ConfigurationGrowth() {}

    static int run() {
        final ConfigurationValidator rules = new ConfigurationValidator(
                new CallRegistry().file().at("/$defs/policy"),
                Set.of("r1", "r2", "r3"),
                Set.of("d1", "d2", "d3", "d4", "d5", "d6"));
        double first = 0;
        for (final int bindings : new int[] {100, 100, 1000, 10_000}) {
            final ConfigurationStore book = new ConfigurationStore(1024);
            book.apply(
                    1,
                    new ConfigurationChange(
                            "all",
                            ConfigurationChange.Kind.PUT,
                            policy(bindings).toString().getBytes(StandardCharsets.UTF_8),
                            0));
            final long[] us = new long[TURNS];
            int bytes = 0;
            for (int i = 0; i < TURNS; i++) {
                final ConfigurationChange one = patch(i);
                final long fromNs = System.nanoTime();
                final JsonNode after = book.preview(one);
                if (!rules.check(after, book.policy().tree()).isEmpty()) {
                    throw new IllegalStateException("the policy is invalid");
                }
                book.apply(book.policy().version() + 1, one);
                us[i] = (System.nanoTime() - fromNs) / 1000;
                bytes = MessageCodec.bytes(one).length;
            }
            Arrays.sort(us);
            final double cost = us[TURNS / 2];
            first = first == 0 || bindings == 100 ? cost : first;
            System.out.printf(
                    "bindings=%d acceptAndApplyUs=%.0f overHundred=%.1f feedBytes=%d snapshotBytes=%d heapKiB=%d%n",
                    bindings, cost, cost / first, bytes, MessageCodec.bytes(book.snapshot()).length, heap(() -> {
                        final ConfigurationStore other = new ConfigurationStore(1024);
                        other.load(book.snapshot());
                        return other;
                    }));
        }
        return 0;
    }

    private static long heap(final Supplier<ConfigurationStore> make) {
        final ConfigurationStore[] kept = new ConfigurationStore[8];
        System.gc();
        final long before =
                Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        for (int i = 0; i < kept.length; i++) {
            kept[i] = make.get();
        }
        System.gc();
        final long after =
                Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        return (after - before) / 1024 / kept.length * (kept[0].policy().version() > 0 ? 1 : 0);
    }

    static ObjectNode policy(final int bindings) {
        final ObjectNode policy = Deployment.PADMA.policy();
        for (int i = 0; i < bindings; i++) {
            bindings(policy, i % Deployment.TENANTS)
                    .putObject("more" + i)
                    .put("path", "/more/" + i)
                    .put("service", Deployment.PADMA.big);
        }
        return policy;
    }

    private static ObjectNode bindings(final ObjectNode policy, final int tenant) {
        return (ObjectNode)
                policy.at("/cells/" + Deployment.cell(tenant) + "/tenants/" + Deployment.tenant(tenant) + "/bindings");
    }

    private static ConfigurationChange patch(final int i) {
        final ObjectNode patch = ConfigurationStore.JSON.createObjectNode();
        patch.putObject("cells")
                .putObject(Deployment.cell(3))
                .putObject("tenants")
                .putObject(Deployment.tenant(3))
                .putObject("bindings")
                .putObject("new" + i)
                .put("path", "/new/" + i)
                .put("service", Deployment.PADMA.big);
        return new ConfigurationChange(
                "new" + i, ConfigurationChange.Kind.PATCH, patch.toString().getBytes(StandardCharsets.UTF_8), 0);
    }
}
