package spokestall;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import spokestall.audit.Audit;
import spokestall.audit.Auditor;
import spokestall.ballot.Ballot;
import spokestall.ballot.BallotNote;
import spokestall.ballot.Guard;
import spokestall.ballot.Register;
import spokestall.ballot.Seat;
import spokestall.ballot.StoredRecords;
import spokestall.ballot.Voter;
import spokestall.ballot.Voters;
import spokestall.duty.Lease;
import spokestall.duty.Sealed;
import spokestall.duty.UsageNote;
import spokestall.edge.Claim;
import spokestall.feed.Versions;
import spokestall.listing.Listed;
import spokestall.listing.ListingNote;
import spokestall.policy.Book;
import spokestall.policy.Change;
import spokestall.ring.Ring;
import spokestall.ring.Segments;
import spokestall.wire.Codec;

/** What a core has on its disk after a short run that is the same each time: it votes, keeps records of its own, starts
 * again and votes once more. */
final class SampleCore {
    static final String NAME = "d1-core";
    static final String DISK_ID = "d1-core/1f";
    static final int SEGMENTS = 6;
    static final int SEGMENT_BYTES = 2048;
    /** The version of notes in which the sample's kept notes are written. */
    static final int NOTE_VERSION = 4;

    static final Voters TABLE = new Voters(
            7,
            1,
            List.of(
                    new Seat(NAME, "10.0.0.1:7000", DISK_ID),
                    new Seat("d2-core", "10.0.0.2:7000", "d2-core/2f"),
                    new Seat("d3-core", "10.0.0.3:7000", "d3-core/3f")));
    static final long FIRST_VERSION = 7_340_032;
    static final Ballot FOUND = new Ballot(1, "found");
    static final Ballot CAST = new Ballot(3, "d2-core/a1");
    static final Ballot CAST_LATER = new Ballot(9, "d3-core/b2");
    static final Lease FIRST_LEASE = new Lease("d2-core/77", "d2-core", 0, FIRST_VERSION + 1, 3000, false);
    static final Lease LEASE = new Lease("d2-core/77", "d2-core", 4, FIRST_VERSION + 1, 3000, true);
    static final Sealed WINDOW =
            new Sealed(345, Map.of("tenant-1", 1_000_000_007L), "d2-core/77", FIRST_VERSION + 1, true);
    static final Claim CLAIM =
            new Claim("d4-edge/5", "digest-1", 1_000, 1_200, Claim.State.NOT_RUN, 503, "digest-2", "instance-1");
    static final UsageNote.Count COUNT = new UsageNote.Count("d4-edge", -5, 346, Map.of("tenant-1", 12L), false);
    static final Listed LISTED =
            new Listed("instance-1", "records", "10.0.1.1:80", "d1", "r1", true, false, 5_000, 6_000, 4_000, 3);

    private static final ObjectMapper JSON = new ObjectMapper();

    private static final Guard KEEPS_ALL = new Guard() {
        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean gone(final String key) {
            return false;
        }

        @Override
        public boolean room(final String key) {
            return true;
        }

        @Override
        public boolean takes(final String key, final byte[] value) {
            return true;
        }
    };

    private SampleCore() {}

    /** Reads a disk as a core that starts does; the fresh identity is for a blank one. */
    static Voter open(final Segments segments, final String freshDiskId) {
        return new Voter(NAME, new Ring(segments), (address, note) -> {}, KEEPS_ALL, freshDiskId);
    }

    /** Two lives of a core on a blank disk. */
    static void run(final Segments segments) {
        firstLife(open(segments, DISK_ID));
        accept(open(segments, "unused"), Lease.key("usage_report"), CAST_LATER, Codec.bytes(LEASE));
    }

    private static void firstLife(final Voter voter) {
        voter.found(
                TABLE,
                List.of(
                        founded("duty/floor", "12345".getBytes(StandardCharsets.UTF_8)),
                        founded("duty/usage_report", Codec.bytes(FIRST_LEASE)),
                        founded(Versions.key(FIRST_VERSION), Codec.bytes(firstChange()))));
        accept(voter, Versions.key(FIRST_VERSION + 1), CAST, Codec.bytes(secondChange()));
        accept(voter, Sealed.key(344), CAST, Codec.bytes(WINDOW));
        accept(voter, Sealed.key(345), CAST, Codec.bytes(WINDOW));
        accept(voter, Claim.key("tenant-1", "pay-17"), CAST, Codec.bytes(CLAIM));
        voter.hear(
                new BallotNote.Prepare(5, "10.0.0.2:7000", 7, 1, "once/tenant-1/pay-18", CAST, false), "10.0.0.1:7000");
        keepOwnRecords(voter);
        voter.raiseFloor(FIRST_VERSION, () -> voter.drop(Versions.key(FIRST_VERSION)));
        voter.drop(Sealed.key(344));
    }

    private static void keepOwnRecords(final Voter voter) {
        Notes.number();
        keep(voter, "~policy", Codec.bytes(book().snapshot()));
        keep(voter, "~council", new byte[0]);
        keep(voter, "~form", Codec.bytes(StoredRecords.formationBallot(6, CAST)));
        keep(voter, "~usage", Codec.note(new UsageNote.Counts("10.0.0.1:7000", 0, List.of(COUNT)), NOTE_VERSION));
        keep(voter, "~listed", Codec.note(new ListingNote.Push(List.of(LISTED), List.of(), 0), NOTE_VERSION));
    }

    private static void keep(final Voter voter, final String key, final byte[] value) {
        voter.keepOwn(key, value, ok -> {
            if (!ok) {
                throw new IllegalStateException("no room for " + key);
            }
        });
    }

    private static BallotNote.Entry founded(final String key, final byte[] value) {
        return new BallotNote.Entry(key, new Register(FOUND, FOUND, value));
    }

    private static void accept(final Voter voter, final String key, final Ballot ballot, final byte[] value) {
        voter.hear(new BallotNote.Accept(4, "10.0.0.2:7000", 7, 1, key, ballot, value), "10.0.0.1:7000");
    }

    static Change firstChange() {
        return new Change("founding-7", Change.Kind.PUT, bytes("{\"holds\":{}}"), 1_000);
    }

    static Change secondChange() {
        return new Change("chg-2", Change.Kind.PATCH, bytes("{\"holds\":{\"d2\":{}}}"), 2_000);
    }

    private static byte[] bytes(final String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The configuration after both changes. */
    static Book book() {
        final Book book = new Book(16);
        book.apply(FIRST_VERSION, firstChange());
        book.apply(FIRST_VERSION + 1, secondChange());
        return book;
    }

    /** Has everything that was decided written down, and some entries more, so that it takes two files. */
    static void tell(final Audit audit) {
        final LongSupplier fleetMs = () -> 5_000;
        final Auditor auditor = new Auditor(audit, book(), fleetMs);
        auditor.table(TABLE);
        auditor.policy();
        auditor.lease(LEASE);
        auditor.window(WINDOW);
        IntStream.range(0, 3).forEach(i -> audit.note("sample", numbered(i)));
    }

    private static ObjectNode numbered(final int number) {
        return JSON.createObjectNode().put("number", number);
    }
}
