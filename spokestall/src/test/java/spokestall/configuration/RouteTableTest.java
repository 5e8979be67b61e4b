package spokestall.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private static final String[] WORDS = {"a", "b", "ab"};

    private static String path(final Random random, final boolean slash) {
        final StringBuilder path = new StringBuilder();
        for (int n = random.nextInt(4); n >= 0; n--) {
            path.append('/').append(WORDS[random.nextInt(WORDS.length)]);
        }
        return path + (slash && random.nextBoolean() ? "/" : "");
    }

    /** The matching rule that the table implements with an index. */
    private static boolean matches(final String route, final String path) {
        return route.endsWith("/") ? path.startsWith(route) : path.equals(route) || path.startsWith(route + "/");
    }

    @Test
    void theLongestMatchingPathIsFoundAmongRandomRoutes() {
        final Random random = new Random(7);
        int matched = 0;
        for (int round = 0; round < 2000; round++) {
            final RouteTable routes = new RouteTable();
            final List<String> all = new ArrayList<>();
            for (int n = random.nextInt(8); n >= 0; n--) {
                final String path = random.nextInt(20) == 0 ? "/" : path(random, true);
                routes.add(Route.of("b", path, "s", false));
                all.add(path);
            }
            final String requested = path(random, true);
            final String expected = all.stream()
                    .filter(candidate -> matches(candidate, requested))
                    .max(Comparator.comparingInt(String::length))
                    .orElse(null);
            final Route route = routes.find(requested);
            assertThat(route == null ? null : route.path())
                    .as(requested + " among " + all)
                    .isEqualTo(expected);
            matched += route == null ? 0 : 1;
        }
        assertThat(matched).isBetween(300, 1900);
    }

    @Test
    void regionMustBeAllowedByBothRouteAndTenant() {
        final Route open = Route.of("b", "/b", "s", false);
        final Route two = new Route("b", "", "/b", open.split(), false, 0, 0, 0, 0, false, Set.of("r1", "r2"));
        final Tenant tenant = new Tenant("t", "", null, Set.of("r2", "r3"), Set.of(), null, List.of());
        assertThat(List.of("r1", "r2", "r3"))
                .filteredOn(r -> two.allowsRegion(tenant, r))
                .containsExactly("r2");
        assertThat(List.of("r1", "r2", "r3"))
                .filteredOn(r -> two.allowsRegion(null, r))
                .containsExactly("r1", "r2");
        assertThat(List.of("r1", "r2", "r3"))
                .filteredOn(r -> open.allowsRegion(tenant, r))
                .containsExactly("r2", "r3");
    }
}
