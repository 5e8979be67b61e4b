package spokestall.usage;

import java.util.List;

/** The addresses of the cores that keep counts, as this node knows them now. */
@FunctionalInterface
public interface CoreAddresses {
    /** The present addresses; empty while none is known. */
    List<String> current();
}
