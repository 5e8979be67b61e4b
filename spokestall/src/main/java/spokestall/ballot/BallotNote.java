package spokestall.ballot;

import java.util.List;
import spokestall.wire.Note;
import spokestall.wire.Since;

/** What proposers and voters say to each other. */
public sealed interface BallotNote extends Note {
    /** Phase one, or with peek only a look at what is accepted. */
    record Prepare(long goId, String from, long generation, long epoch, String key, Ballot ballot, boolean peek)
            implements BallotNote {}

    /** The reply to {@link Prepare}. */
    record Promise(long goId, String voter, String diskId, Reply reply, Ballot promised, Ballot accepted, byte[] value)
            implements BallotNote {}

    /** Phase two. */
    record Accept(long goId, String from, long generation, long epoch, String key, Ballot ballot, byte[] value)
            implements BallotNote {}

    /** The reply to {@link Accept}. */
    record Accepted(long goId, String voter, String diskId, Reply reply, Ballot promised) implements BallotNote {}

    /** News that a value has been chosen at a rank. */
    record Chosen(long generation, long epoch, String key, Ballot ballot, byte[] value) implements BallotNote {}

    /** A table of voters, said by whoever sees that the other has an older one. */
    record Table(Voters voters) implements BallotNote {}

    /** A voter that lost its disk asks the others for all they have, page by page. */
    record CatchAsk(String from, String name, long generation, long epoch, String after) implements BallotNote {}

    /** One page of a voter's registers, and the version up to which it has let registers of versions go. */
    record CatchBack(
            String name,
            long generation,
            long epoch,
            String after,
            List<Entry> entries,
            boolean last,
            @Since(4) long floor)
            implements BallotNote {}

    /** A voter that leaves asks another whether it has accepted as much; the reply names what it lacks. */
    record HoldAsk(String from, long generation, long epoch, List<Held> held) implements BallotNote {}

    /** The reply to {@link HoldAsk}: the keys of which this voter has only older ranks, or none, on its disk. */
    record HoldBack(String name, long generation, long epoch, List<String> lacking) implements BallotNote {}

    /** A register's key, and the rank at which its value was accepted. */
    record Held(String key, Ballot accepted) {}

    /** One register under its key. */
    record Entry(String key, Register register) {}

    /** How a voter answered. */
    enum Reply {
        YES,
        LOWER,
        OLD_TABLE,
        BLANK,
        GONE,
        DENIED,
        DISK
    }
}
