package spokestall.io.transport;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import spokestall.io.Addresses;

/** Accepts IPv4 addresses that belong to one of several networks in CIDR notation. Thread-safe. */
public final class TrustedNetworks implements Predicate<InetAddress> {
    private record Network(int address, int mask) {}

    private final List<Network> networks = new ArrayList<>();

    /** Parses a validated setting such as {@code 10.1.0.0/16,10.2.3.4}; an address without a prefix length stands for itself only. */
    public TrustedNetworks(final String setting) {
        for (final String network : setting.split(",")) {
            final String[] parts = network.split("/");
            final int bits = parts.length == 1 ? 32 : Integer.parseInt(parts[1]);
            final int mask = bits == 0 ? 0 : -1 << 32 - bits;
            networks.add(new Network(toInt(Addresses.of(parts[0] + ":1").getAddress()) & mask, mask));
        }
    }

    private static int toInt(final InetAddress address) {
        int number = 0;
        for (final byte part : address.getAddress()) {
            number = number << 8 | part & 0xff;
        }
        return number;
    }

    @Override
    public boolean test(final InetAddress from) {
        return from.getAddress().length == 4 && networks.stream().anyMatch(n -> (toInt(from) & n.mask) == n.address);
    }
}
