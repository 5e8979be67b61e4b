package spokestall.membership;

import java.util.List;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.VoterSet;
import spokestall.message.Fingerprints;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/** Messages between cores about who can vote, and of the vote on a new generation. Written by the order of their fields. */
public sealed interface MembershipMessage extends Message {
    /**
     * A core's report on itself, sent to every core it knows.
     *
     * <p>{@code silentVoters} and {@code removableVoters} have one bit for each position in the voter set that {@code generation}
     * and {@code epoch} name. {@code written} is the sequence number up to which the sender's disk is written;
     * {@code recipientDiskFingerprint} and {@code recipientWritten} are what it knows of the recipient's disk, so that a core
     * whose disk was restored to an older state finds out.
     *
     * @param voterSet the sender's voter set, or null if the recipient has it already or the sender knows none
     * @param hasState whether its disk has complete state of its generation
     * @param bootstrapCandidate whether it may be a voter of the first generation
     * @param catchingUp whether it is a voter that still reads state from the others
     */
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
        /** Before version 3 the voter set is always there, and its numbers are nowhere else. */
        public VoterStatus {
            generation = voterSet == null ? generation : voterSet.generation();
            epoch = voterSet == null ? epoch : voterSet.epoch();
        }

        /** The same status with how far the sender's and the recipient's disks are written. */
        VoterStatus withWriteProgress(
                final long ownWritten, final long recipientFingerprint, final long recipientProgress) {
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
                    ownWritten,
                    recipientFingerprint,
                    recipientProgress);
        }

        /** The same status with only the numbers of the voter set. */
        VoterStatus withoutVoterSet() {
            return new VoterStatus(
                    name,
                    address,
                    diskId,
                    null,
                    hasState,
                    voting,
                    canWrite,
                    generation,
                    epoch,
                    bootstrapCandidate,
                    catchingUp,
                    silentVoters,
                    removableVoters,
                    written,
                    recipientDiskFingerprint,
                    recipientWritten);
        }

        /** Whether the sender knows that this disk was once written further than it is now. */
        public boolean provesDiskRollback(final String localDiskId, final long localWritten) {
            return recipientWritten > localWritten && recipientDiskFingerprint == Fingerprints.of(localDiskId);
        }

        /** Whether the sender has a newer voter set than this one, which may be null. */
        public boolean hasNewerVoterSetThan(final VoterSet local) {
            return generation > 0 && new VoterSet(generation, epoch, List.of()).newerThan(local);
        }

        /** Whether the sender lacks this voter set, which may be null. */
        public boolean lacksVoterSet(final VoterSet local) {
            return local != null && (generation == 0 || local.newerThan(new VoterSet(generation, epoch, List.of())));
        }
    }

    /** Phase one of the vote that ends generation {@code baseGeneration}; {@code epoch} is that of the sender's voter set. */
    record GenerationPrepare(
            String from,
            long baseGeneration,
            ProposalNumber proposalNumber,
            @SinceVersion(3) long epoch) implements MembershipMessage {}

    /**
     * The reply to {@link GenerationPrepare}. If granted, it has what this core accepted before, if anything, and what it still
     * has; otherwise both are null.
     */
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

    /** Phase two of the vote that ends generation {@code baseGeneration}. */
    record GenerationAccept(String from, long baseGeneration, ProposalNumber proposalNumber, InitialState initialState)
            implements MembershipMessage {}

    /** The reply to {@link GenerationAccept}. */
    record GenerationAccepted(
            long baseGeneration, ProposalNumber proposalNumber, String name, boolean granted, ProposalNumber promised)
            implements MembershipMessage {}

    /** A new generation was chosen and starts from this state. */
    record GenerationStarted(InitialState initialState) implements MembershipMessage {}

    /** Requests what a node of any role still has. */
    record SurvivingStateRequest(String from) implements MembershipMessage {}

    /** The reply to {@link SurvivingStateRequest}. */
    record SurvivingStateResponse(SurvivingState survivingState) implements MembershipMessage {}
}
