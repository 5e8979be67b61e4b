package spokestall.membership;

import java.util.List;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.VoterSet;
import spokestall.message.Fingerprints;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/** What cores say to each other about who can vote, and the proposal number for a new generation. */
public sealed interface MembershipMessage extends Message {
    /** A core's own word on its state, told to every core it knows; with its table only where the other may lack it. It has
     * a bit for each place in the table: seats it has not heard for long, and for so long that they may be given up. It says
     * how far its disk is written, and how far it has heard that the other's is, so that a disk that was put back to an
     * older state is told from the one that it was. */
    record VoterStatus(
            String name,
            String address,
            String diskId,
            VoterSet table,
            boolean hasState,
            boolean voting,
            boolean canWrite,
            @SinceVersion(3) long generation,
            @SinceVersion(3) long epoch,
            @SinceVersion(3) boolean founding,
            @SinceVersion(4) boolean catchingUp,
            @SinceVersion(4) long silentVoters,
            @SinceVersion(4) long goneVoters,
            @SinceVersion(4) long written,
            @SinceVersion(4) long yourDisk,
            @SinceVersion(4) long yourWritten)
            implements MembershipMessage {
        /** The older form has the table always, and its numbers nowhere else. */
        public VoterStatus {
            generation = table == null ? generation : table.generation();
            epoch = table == null ? epoch : table.epoch();
        }

        /** With how far disks are written. */
        VoterStatus written(final long own, final long disk, final long others) {
            return new VoterStatus(
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
                    silentVoters,
                    goneVoters,
                    own,
                    disk,
                    others);
        }

        /** Whether whoever says so has heard that this disk was written further than it is. */
        public boolean heardFurther(final String ownDisk, final long ownWritten) {
            return yourWritten > ownWritten && yourDisk == Fingerprints.of(ownDisk);
        }

        /** Whether whoever says so has a newer table. */
        public boolean newerThan(final VoterSet mine) {
            return generation > 0 && new VoterSet(generation, epoch, List.of()).newerThan(mine);
        }

        /** Whether whoever says so lacks this table. */
        public boolean lacks(final VoterSet mine) {
            return mine != null && (generation == 0 || mine.newerThan(new VoterSet(generation, epoch, List.of())));
        }
    }

    /** Phase one of the proposal number that ends a generation. */
    record GenerationPrepare(
            String from,
            long base,
            ProposalNumber proposalNumber,
            @SinceVersion(3) long epoch) implements MembershipMessage {}

    /** The reply to {@link GenerationPrepare}, with what this core still has. */
    record GenerationPromise(
            long base,
            ProposalNumber proposalNumber,
            String name,
            String address,
            String diskId,
            boolean yes,
            ProposalNumber promised,
            ProposalNumber accepted,
            InitialState founding,
            SurvivingState survivingState)
            implements MembershipMessage {}

    /** Phase two. */
    record GenerationAccept(String from, long base, ProposalNumber proposalNumber, InitialState founding)
            implements MembershipMessage {}

    /** The reply to {@link GenerationAccept}. */
    record GenerationAccepted(
            long base, ProposalNumber proposalNumber, String name, boolean yes, ProposalNumber promised)
            implements MembershipMessage {}

    /** A new generation has been agreed. */
    record GenerationStarted(InitialState founding) implements MembershipMessage {}

    /** Asks any node for what it still has. */
    record SurvivingStateRequest(String from) implements MembershipMessage {}

    /** The reply to {@link SurvivingStateRequest}. */
    record SurvivingStateResponse(SurvivingState survivingState) implements MembershipMessage {}
}
