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

/** Measures the cost of adding one route, at a core and in the feed, for configurations with different numbers of routes. */
final class ConfigurationGrowth {
    private static final int SAMPLES = 41;

    private ConfigurationGrowth() {}

    static int run() {
        final ConfigurationValidator rules = new ConfigurationValidator(
                new CallRegistry().schema().at("/$defs/policy"),
                Set.of("r1", "r2", "r3"),
                Set.of("d1", "d2", "d3", "d4", "d5", "d6"));
        double first = 0;
        for (final int routes : new int[] {100, 100, 1000, 10_000}) {
            final ConfigurationStore configurationStore = new ConfigurationStore(1024);
            configurationStore.apply(
                    1,
                    new ConfigurationChange(
                            "all",
                            ConfigurationChange.Kind.PUT,
                            configuration(routes).toString().getBytes(StandardCharsets.UTF_8),
                            0));
            final long[] us = new long[SAMPLES];
            int bytes = 0;
            for (int i = 0; i < SAMPLES; i++) {
                final ConfigurationChange one = patch(i);
                final long fromNs = System.nanoTime();
                final JsonNode after = configurationStore.preview(one);
                if (!rules.check(after, configurationStore.configuration().tree())
                        .isEmpty()) {
                    throw new IllegalStateException("the generated configuration is invalid");
                }
                configurationStore.apply(configurationStore.configuration().version() + 1, one);
                us[i] = (System.nanoTime() - fromNs) / 1000;
                bytes = MessageCodec.encodeRecord(one).length;
            }
            Arrays.sort(us);
            final double cost = us[SAMPLES / 2];
            first = first == 0 || routes == 100 ? cost : first;
            System.out.printf(
                    "bindings=%d acceptAndApplyUs=%.0f overHundred=%.1f feedBytes=%d snapshotBytes=%d heapKiB=%d%n",
                    routes,
                    cost,
                    cost / first,
                    bytes,
                    MessageCodec.encodeRecord(configurationStore.snapshot()).length,
                    heapKiBPerStore(() -> {
                        final ConfigurationStore other = new ConfigurationStore(1024);
                        other.load(configurationStore.snapshot());
                        return other;
                    }));
        }
        return 0;
    }

    private static long heapKiBPerStore(final Supplier<ConfigurationStore> make) {
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
        return (after - before) / 1024 / kept.length * (kept[0].configuration().version() > 0 ? 1 : 0);
    }

    static ObjectNode configuration(final int routes) {
        final ObjectNode configuration = Deployment.PADMA.configuration();
        for (int i = 0; i < routes; i++) {
            routes(configuration, i % Deployment.TENANTS)
                    .putObject("more" + i)
                    .put("path", "/more/" + i)
                    .put("service", Deployment.PADMA.largeService);
        }
        return configuration;
    }

    private static ObjectNode routes(final ObjectNode configuration, final int tenant) {
        return (ObjectNode) configuration.at(
                "/cells/" + Deployment.cell(tenant) + "/tenants/" + Deployment.tenant(tenant) + "/bindings");
    }

    private static ConfigurationChange patch(final int i) {
        final ObjectNode patch = Deployment.routePatch("new" + i, "/new/" + i, Deployment.PADMA.largeService);
        return new ConfigurationChange(
                "new" + i, ConfigurationChange.Kind.PATCH, patch.toString().getBytes(StandardCharsets.UTF_8), 0);
    }
}
