package spokestall.membership;

import spokestall.consensus.ProposalNumber;

/** Gives tests of other packages access to the package-private stored records of this package. */
public final class StoredRecords {
    private StoredRecords() {}

    /** Returns the type of a core's stored vote on a new generation. */
    public static Class<? extends Record> generationVote() {
        return GenerationAcceptor.Vote.class;
    }

    /** Returns a stored vote with a promise and no accepted state. */
    public static Record generationVote(final long baseGeneration, final ProposalNumber promised) {
        return new GenerationAcceptor.Vote(baseGeneration, promised, ProposalNumber.NONE, null);
    }
}
