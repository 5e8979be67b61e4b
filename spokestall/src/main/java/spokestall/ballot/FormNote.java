package spokestall.ballot;

import java.util.List;
import spokestall.wire.Note;
import spokestall.wire.Since;

/** What cores say to each other about who can vote, and the ballot for a new generation. */
public sealed interface FormNote extends Note {
    /** A core's own word on its state, told to every core it knows; with its table only where the other may lack it. The last two have
     * a bit for each place in the table: seats it has not heard for long, and for so long that they may be given up. */
    record Standing(
            String name,
            String address,
            String diskId,
            Voters table,
            boolean hasState,
            boolean voting,
            boolean canWrite,
            @Since(3) long generation,
            @Since(3) long epoch,
            @Since(3) boolean founding,
            @Since(4) long silentSeats,
            @Since(4) long goneSeats)
            implements FormNote {
        /** The older form has the table always, and its numbers nowhere else. */
        public Standing {
            generation = table == null ? generation : table.generation();
            epoch = table == null ? epoch : table.epoch();
        }

        /** Whether whoever says so has a newer table. Example: {@code if (s.newerThan(mine)) ask();} */
        public boolean newerThan(final Voters mine) {
            return generation > 0 && new Voters(generation, epoch, List.of()).newerThan(mine);
        }

        /** Whether whoever says so lacks this table. Example: {@code if (s.lacks(mine)) tell();} */
        public boolean lacks(final Voters mine) {
            return mine != null && (generation == 0 || mine.newerThan(new Voters(generation, epoch, List.of())));
        }
    }

    /** Phase one of the ballot that ends a generation. */
    record FormPrepare(
            String from, long base, Ballot ballot, @Since(3) long epoch) implements FormNote {}

    /** The reply to {@link FormPrepare}, with what this core still has. */
    record FormPromise(
            long base,
            Ballot ballot,
            String name,
            String address,
            String diskId,
            boolean yes,
            Ballot promised,
            Ballot accepted,
            Founding founding,
            Remains remains)
            implements FormNote {}

    /** Phase two. */
    record FormAccept(String from, long base, Ballot ballot, Founding founding) implements FormNote {}

    /** The reply to {@link FormAccept}. */
    record FormAccepted(long base, Ballot ballot, String name, boolean yes, Ballot promised) implements FormNote {}

    /** A new generation has been agreed. */
    record Founded(Founding founding) implements FormNote {}

    /** Asks any node for what it still has. */
    record RemainsAsk(String from) implements FormNote {}

    /** The reply to {@link RemainsAsk}. */
    record RemainsBack(Remains remains) implements FormNote {}
}
