package spokestall.consensus;

/** Accepts every value and prunes no key, unless a test overrides a method. */
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
