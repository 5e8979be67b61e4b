package spokestall.edge;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** How an edge reaches upstreams, at the rim. */
public interface Upstreams {
    /** {@code may} is asked in the moment the first bytes are to leave.
     * Example: {@code upstreams.go(go, () -> mayGo(ask), result -> ...);} */
    void go(Go go, Supplier<Boolean> may, Consumer<GoResult> done);
}
