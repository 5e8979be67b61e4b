package spokestall.membership;

import spokestall.consensus.ProposalNumber;

/** Names to tests of other packages the stored records that only this package knows. */
public final class StoredRecords {
    private StoredRecords() {}

    /** What a core keeps about the proposal number for a new generation. */
    public static Class<? extends Record> generationVote() {
        return GenerationAcceptor.Vote.class;
    }

    /** A proposal number in which nothing was accepted yet. */
    public static Record generationVote(final long baseGeneration, final ProposalNumber promised) {
        return new GenerationAcceptor.Vote(baseGeneration, promised, ProposalNumber.NONE, null);
    }
}
