package spokestall;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import spokestall.ballot.Ballot;
import spokestall.ballot.BallotNote;
import spokestall.ballot.Formation;
import spokestall.ballot.Founding;
import spokestall.ballot.Register;
import spokestall.ballot.Remains;
import spokestall.ballot.Seat;
import spokestall.ballot.Voters;
import spokestall.duty.Lease;
import spokestall.edge.Claim;
import spokestall.feed.Versions;
import spokestall.policy.Book;
import spokestall.policy.Change;
import spokestall.policy.Snapshot;
import spokestall.time.FleetClock;
import spokestall.wire.Codec;

/** Makes a new generation out of what is left of the old one, above every number that anyone has seen. */
final class Merge implements Formation.Merger {
    static final String FLOOR = "duty/floor";
    private static final Ballot FOUND = new Ballot(1, "found");
    private final FleetClock fleet;

    Merge(final FleetClock fleet) {
        this.fleet = fleet;
    }

    @Override
    public Founding merge(final long base, final List<Remains> remains, final List<Seat> seats) {
        long generation = Math.max(base + 1, fleet.nowMs() / 1000);
        for (final Remains r : remains) {
            generation = Math.max(generation, r.generation() + 1);
            generation = Math.max(generation, (r.token() >> Voters.GENERATION_SHIFT) + 1);
            generation = Math.max(generation, (r.policyVersion() >> Voters.GENERATION_SHIFT) + 1);
        }
        final Voters table = new Voters(generation, 1, seats);
        final TreeMap<String, Register> newest = newest(base, remains);
        final List<BallotNote.Entry> entries = new ArrayList<>();
        newest.forEach((key, r) -> {
            if (Claim.isKey(key) || key.startsWith("usage/")) {
                entries.add(entry(key, r.value()));
            } else if (key.startsWith("duty/") && !key.equals(FLOOR)) {
                final Lease l = Codec.record(r.value(), Lease.class);
                entries.add(entry(
                        key, Codec.bytes(new Lease(l.owner(), l.holder(), l.renewal(), l.token(), l.spanMs(), false))));
            }
        });
        entries.add(entry(FLOOR, Long.toString(fleet.nowMs()).getBytes(StandardCharsets.UTF_8)));
        entries.add(entry(Versions.key(table.firstNumber()), policy(remains, newest, generation)));
        return new Founding(table, entries);
    }

    private static BallotNote.Entry entry(final String key, final byte[] value) {
        return new BallotNote.Entry(key, new Register(FOUND, FOUND, value));
    }

    private static TreeMap<String, Register> newest(final long base, final List<Remains> remains) {
        final TreeMap<String, Register> newest = new TreeMap<>();
        for (final Remains r : remains) {
            if (r.hasState() && r.generation() == base) {
                for (final BallotNote.Entry e : r.registers()) {
                    if (e.register().value() != null) {
                        newest.merge(
                                e.key(), e.register(), (a, b) -> b.accepted().compareTo(a.accepted()) > 0 ? b : a);
                    }
                }
            }
        }
        return newest;
    }

    /** The newest policy anyone has, and on top of it what was accepted after it and may have been acknowledged; with the
     * orders that made it, which may be sent again. */
    private byte[] policy(final List<Remains> remains, final TreeMap<String, Register> newest, final long generation) {
        final Book book = new Book(1);
        for (final Remains r : remains) {
            if (r.policy() != null) {
                book.load(Codec.record(r.policy(), Snapshot.class));
            }
        }
        newest.forEach((key, r) -> {
            final long version = Versions.of(key);
            final boolean first = version == (version >> Voters.GENERATION_SHIFT) << Voters.GENERATION_SHIFT;
            if (version > book.policy().version()
                    && (first || version == book.policy().version() + 1)) {
                book.apply(version, Codec.record(r.value(), Change.class));
            }
        });
        return Codec.bytes(new Change(
                "founding-" + generation, Change.Kind.PUT, book.snapshot().json(), fleet.nowMs(), book.orders()));
    }
}
