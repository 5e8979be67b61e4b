package spokestall.view;

import java.util.List;
import spokestall.wire.Note;

/** What neighbours say to each other. */
public sealed interface ViewNote extends Note {
    /** A sample of a view, offered for another, with the sender's time. */
    record Shuffle(
            String from,
            Member self,
            long sentMs,
            boolean reply,
            long echoMs,
            long fleetMs,
            boolean settled,
            List<Member> sample)
            implements ViewNote {}
}
