package spokestall.configuration;

import java.util.HashMap;
import java.util.Map;

/** Routes by path, of which the longest that leads to an ask's path counts. */
final class RouteTable {
    private final Map<String, Route> byPath = new HashMap<>();

    void add(final Route route) {
        byPath.put(route.path(), route);
    }

    int size() {
        return byPath.size();
    }

    /** A path that ends with a slash leads to what is below it only; another one to itself too. */
    Route find(final String path) {
        Route found = byPath.get(path);
        int at = path.length();
        while (found == null && at > 0) {
            at = path.lastIndexOf('/', at - 1);
            if (at < 0) {
                return null;
            }
            found = byPath.get(path.substring(0, at + 1));
            if (found == null && at > 0) {
                found = byPath.get(path.substring(0, at));
            }
        }
        return found;
    }
}
