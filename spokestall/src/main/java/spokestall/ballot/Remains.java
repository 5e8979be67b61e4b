package spokestall.ballot;

import java.util.List;

/** What a node still has after a loss: numbers it has seen, its policy as a snapshot, and a voter's registers. */
public record Remains(
        String name,
        long generation,
        long policyVersion,
        byte[] policy,
        long token,
        boolean hasState,
        List<BallotNote.Entry> registers) {}
