package spokestall.ballot;

import java.util.List;

/** What a new generation starts from: its table of voters and its first registers. */
public record Founding(Voters table, List<BallotNote.Entry> entries) {}
