package spokestall.listing;

import java.util.List;
import spokestall.wire.Note;
import spokestall.wire.Since;

/** What cores tell each other of upstreams; any of it may come twice or in any order. */
public sealed interface ListingNote extends Note {
    /** Entries to merge, and when the platform's list was last read, zero when that isn't told. */
    record Push(
            List<Listed> listed,
            List<Report> reports,
            @Since(3) long readMs) implements ListingNote {}
}
