package spokestall.listing;

import java.util.List;
import spokestall.wire.Note;

/** What cores tell each other of upstreams; any of it may come twice or in any order. */
public sealed interface ListingNote extends Note {
    /** Entries to merge. */
    record Push(List<Listed> listed, List<Report> reports) implements ListingNote {
    }
}
