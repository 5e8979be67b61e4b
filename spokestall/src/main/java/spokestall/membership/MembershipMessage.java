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
            VoterSet voterSet,
            boolean hasState,
            boolean voting,
            boolean canWrite,
            @SinceVersion(3) long generation,
            @SinceVersion(3) long epoch,
            @SinceVersion(3) boolean bootstrapCandidate,
            @SinceVersion(4) boolean catchingUp,
            @SinceVersion(4) long silentVoters,
            @SinceVersion(4) long removableVoters,
            @SinceVersion(4) long written,
            @SinceVersion(4) long recipientDiskFingerprint,
            @SinceVersion(4) long recipientWritten)
            implements MembershipMessage {
        /** The older form has the table always, and its numbers nowhere else. */
        public VoterStatus {
            generation = voterSet == null ? generation : voterSet.generation();
            epoch = voterSet == null ? epoch : voterSet.epoch();
        }

        /** With how far disks are written. */
        VoterStatus written(final long own, final long disk, final long others) {
            return new VoterStatus(
                    name,
                    address,
                    diskId,
                    voterSet,
                    hasState,
                    voting,
                    canWrite,
                    generation,
                    epoch,
                    bootstrapCandidate,
                    catchingUp,
                    silentVoters,
                    removableVoters,
                    own,
                    disk,
                    others);
        }

        /** Whether whoever says so has heard that this disk was written further than it is. */
        public boolean provesOlderDisk(final String ownDisk, final long ownWritten) {
            return recipientWritten > ownWritten && recipientDiskFingerprint == Fingerprints.of(ownDisk);
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
            long baseGeneration,
            ProposalNumber proposalNumber,
            @SinceVersion(3) long epoch) implements MembershipMessage {}

    /** The reply to {@link GenerationPrepare}, with what this core still has. */
    record GenerationPromise(
            long baseGeneration,
            ProposalNumber proposalNumber,
            String name,
            String address,
            String diskId,
            boolean granted,
            ProposalNumber promised,
            ProposalNumber accepted,
            InitialState initialState,
            SurvivingState survivingState)
            implements MembershipMessage {}

    /** Phase two. */
    record GenerationAccept(String from, long baseGeneration, ProposalNumber proposalNumber, InitialState initialState)
            implements MembershipMessage {}

    /** The reply to {@link GenerationAccept}. */
    record GenerationAccepted(
            long baseGeneration, ProposalNumber proposalNumber, String name, boolean granted, ProposalNumber promised)
            implements MembershipMessage {}

    /** A new generation has been agreed. */
    record GenerationStarted(InitialState initialState) implements MembershipMessage {}

    /** Asks any node for what it still has. */
    record SurvivingStateRequest(String from) implements MembershipMessage {}

    /** The reply to {@link SurvivingStateRequest}. */
    record SurvivingStateResponse(SurvivingState survivingState) implements MembershipMessage {}
}
