package spokestall.consensus;

/** A guard that accepts every value and reports no key as pruned. Tests override single methods. */
public class PermissiveGuard implements RegisterGuard {
    @Override
    public boolean ready() {
        return true;
    }

    @Override
    public boolean isPruned(final String key) {
        return false;
    }

    @Override
    public boolean hasCapacityFor(final String key) {
        return true;
    }

    @Override
    public boolean accepts(final String key, final byte[] value) {
        return true;
    }
}
