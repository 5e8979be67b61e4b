package spokestall.usage;

import java.util.List;

/** Supplies the addresses of the cores that store usage counts. */
@FunctionalInterface
public interface CoreAddresses {
    /** Returns the addresses that this node currently knows; empty if it knows none. */
    List<String> current();
}
