package spokestall.configuration;

import java.util.HashMap;
import java.util.Map;

/** Routes by path, matched by the longest prefix of whole path segments. Must not be modified after it has been filled. */
final class RouteTable {
    private final Map<String, Route> byPath = new HashMap<>();

    void add(final Route route) {
        byPath.put(route.path(), route);
    }

    int size() {
        return byPath.size();
    }

    /**
     * Returns the route with the longest matching path, or null if none matches. If two matching paths differ only in a trailing
     * slash, the route with the slash is returned.
     */
    Route find(final String path) {
        Route found = byPath.get(path);
        int slash = path.length();
        while (found == null && slash > 0) {
            slash = path.lastIndexOf('/', slash - 1);
            if (slash < 0) {
                return null;
            }
            found = byPath.get(path.substring(0, slash + 1));
            if (found == null && slash > 0) {
                found = byPath.get(path.substring(0, slash));
            }
        }
        return found;
    }
}
