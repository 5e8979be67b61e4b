package spokestall.membership;

import java.util.List;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.VoterSet;
import spokestall.message.Fingerprints;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/**
 * Messages between cores: voter statuses, and the vote on a new generation. Written by the order of their fields.
 */
public sealed interface MembershipMessage extends Message {
    /**
     * Status of the sending core, which it sends to every core it knows.
     *
     * <p>{@code silentVoters} and {@code removableVoters} have one bit for each position in the voter set that {@code generation}
     * and {@code epoch} identify. {@code written} is the highest sequence number synced to the sender's disk.
     * {@code recipientDiskFingerprint} and {@code recipientWritten} are the fingerprint of the recipient's disk identity and the
     * highest sequence number that the sender has seen reported for that disk, so that a core can detect that its own disk was
     * restored to an older state.
     *
     * @param voterSet the sender's voter set, or null if the recipient has it already or the sender knows none
     * @param hasState whether the sender's disk has the complete state of its generation
     * @param bootstrapCandidate whether the sender may become a voter of the first generation
     * @param catchingUp whether the sender is a voter that is still reading state from the other voters
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
        /**
         * Takes the generation and epoch from the voter set if there is one: messages before version 3 always carry the voter set
         * and lack the two separate fields.
         */
        public VoterStatus {
            generation = voterSet == null ? generation : voterSet.generation();
            epoch = voterSet == null ? epoch : voterSet.epoch();
        }

        /** Returns a copy with the write progress of the sender's and the recipient's disks. */
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

        /** Returns a copy without the voter set, which keeps its generation and epoch. */
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

        /** Whether the sender has seen a higher sequence number from this disk than the disk has now. */
        public boolean provesDiskRollback(final String localDiskId, final long localWritten) {
            return recipientWritten > localWritten && recipientDiskFingerprint == Fingerprints.of(localDiskId);
        }

        /** Whether the sender's voter set is newer than {@code local}, which may be null. */
        public boolean hasNewerVoterSetThan(final VoterSet local) {
            return generation > 0 && new VoterSet(generation, epoch, List.of()).newerThan(local);
        }

        /** Whether the sender's voter set is missing or older than {@code local}, which may be null. */
        public boolean lacksVoterSet(final VoterSet local) {
            return local != null && (generation == 0 || local.newerThan(new VoterSet(generation, epoch, List.of())));
        }
    }

    /**
     * Request of phase one of the vote on the successor of generation {@code baseGeneration}; {@code epoch} is that of the sender's
     * voter set.
     */
    record GenerationPrepare(
            String from,
            long baseGeneration,
            ProposalNumber proposalNumber,
            @SinceVersion(3) long epoch) implements MembershipMessage {}

    /**
     * Reply to {@link GenerationPrepare}. A granted promise carries the initial state that this core has accepted already, or null,
     * and its surviving state; in a rejection both are null.
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

    /** Request of phase two of the vote on the successor of generation {@code baseGeneration}. */
    record GenerationAccept(String from, long baseGeneration, ProposalNumber proposalNumber, InitialState initialState)
            implements MembershipMessage {}

    /** Reply to {@link GenerationAccept}. */
    record GenerationAccepted(
            long baseGeneration, ProposalNumber proposalNumber, String name, boolean granted, ProposalNumber promised)
            implements MembershipMessage {}

    /** Notification that a new generation was chosen and starts from this state. */
    record GenerationStarted(InitialState initialState) implements MembershipMessage {}

    /** Request for the surviving state of a node of any role. */
    record SurvivingStateRequest(String from) implements MembershipMessage {}

    /** Reply to {@link SurvivingStateRequest}. */
    record SurvivingStateResponse(SurvivingState survivingState) implements MembershipMessage {}
}
