package spokestall.ballot;

import java.util.List;
import spokestall.wire.Marks;
import spokestall.wire.Note;
import spokestall.wire.Since;

/** What cores say to each other about who can vote, and the ballot for a new generation. */
public sealed interface FormNote extends Note {
    /** A core's own word on its state, told to every core it knows; with its table only where the other may lack it. It has
     * a bit for each place in the table: seats it has not heard for long, and for so long that they may be given up. It says
     * how far its disk is written, and how far it has heard that the other's is, so that a disk that was put back to an
     * older state is told from the one that it was. */
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
            @Since(4) boolean catchingUp,
            @Since(4) long silentSeats,
            @Since(4) long goneSeats,
            @Since(4) long written,
            @Since(4) long yourDisk,
            @Since(4) long yourWritten)
            implements FormNote {
        /** The older form has the table always, and its numbers nowhere else. */
        public Standing {
            generation = table == null ? generation : table.generation();
            epoch = table == null ? epoch : table.epoch();
        }

        /** With how far disks are written. Example: {@code standing.written(812, Marks.of(peerDisk), 790)} */
        Standing written(final long own, final long disk, final long others) {
            return new Standing(
                    name,
                    address,
                    diskId,
                    table,
                    hasState,
                    voting,
                    canWrite,
                    generation,
                    epoch,
                    founding,
                    catchingUp,
                    silentSeats,
                    goneSeats,
                    own,
                    disk,
                    others);
        }

        /** Whether whoever says so has heard that this disk was written further than it is.
         * Example: {@code if (s.heardFurther(voter.diskId(), voter.written())) startOver();} */
        public boolean heardFurther(final String ownDisk, final long ownWritten) {
            return yourWritten > ownWritten && yourDisk == Marks.of(ownDisk);
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
