package spokestall.ballot;

import spokestall.wire.Note;

/** What cores say to each other about who can vote, and the ballot for a new generation. */
public sealed interface FormNote extends Note {
    /** A core's own word on its state, told to every core it knows. */
    record Standing(String name, String address, String diskId, Voters table, boolean hasState, boolean voting,
            boolean canWrite) implements FormNote {
    }

    /** Phase one of the ballot that ends a generation. */
    record FormPrepare(String from, long base, Ballot ballot) implements FormNote {
    }

    /** The reply to {@link FormPrepare}, with what this core still has. */
    record FormPromise(long base, Ballot ballot, String name, String address, String diskId, boolean yes,
            Ballot promised, Ballot accepted, Founding founding, Remains remains) implements FormNote {
    }

    /** Phase two. */
    record FormAccept(String from, long base, Ballot ballot, Founding founding) implements FormNote {
    }

    /** The reply to {@link FormAccept}. */
    record FormAccepted(long base, Ballot ballot, String name, boolean yes, Ballot promised) implements FormNote {
    }

    /** A new generation has been agreed. */
    record Founded(Founding founding) implements FormNote {
    }

    /** Asks any node for what it still has. */
    record RemainsAsk(String from) implements FormNote {
    }

    /** The reply to {@link RemainsAsk}. */
    record RemainsBack(Remains remains) implements FormNote {
    }
}
