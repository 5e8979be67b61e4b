package spokestall.proof;

import spokestall.ballot.BallotNote;
import spokestall.ballot.Voters;
import spokestall.feed.FeedNote;
import spokestall.feed.Versions;
import spokestall.policy.Change;
import spokestall.wire.Codec;
import spokestall.wire.Marks;
import spokestall.wire.Note;

/** Alters notes on their way, for the planted faults that need it. */
final class Forger {
    private static final long HOUR_MS = 3_600_000;

    private Forger() {}

    /** The note as it arrives under a plant. */
    static Note altered(final Plant plant, final Note note) {
        if (plant != Plant.LEAPING_CHANGES) {
            return note;
        }
        if (note instanceof BallotNote.Accept a && Versions.of(a.key()) >= 0) {
            return new BallotNote.Accept(
                    a.goId(),
                    a.from(),
                    a.generation(),
                    a.epoch(),
                    a.key(),
                    a.ballot(),
                    leapt(Versions.of(a.key()), a.value()));
        }
        if (note instanceof FeedNote.FeedNews n && n.change() != null) {
            return new FeedNote.FeedNews(n.version(), leapt(n.version(), n.change()));
        }
        return note;
    }

    private static byte[] leapt(final long version, final byte[] value) {
        final Change c = Codec.record(value, Change.class);
        final long changes = version & (1L << Voters.GENERATION_SHIFT) - 1;
        return Codec.bytes(
                new Change(c.changeId(), c.kind(), c.json(), World.EPOCH_MS + changes * HOUR_MS, c.before()));
    }

    /** The proof that an asker hears in place of one that can't reach it, or null where the note asks for none. */
    static Note proof(final Note note, final SimNode asker, final SimNode core) {
        final long askId =
                note instanceof FeedNote.ProofAsk p ? p.askId() : note instanceof FeedNote.FeedAsk f ? f.askId() : 0;
        if (askId == 0 || !core.up() || core.node().voter() == null) {
            return null;
        }
        final Voters table = core.node().voter().voters();
        return new FeedNote.ProofBack(
                core.name,
                askId,
                table.generation(),
                table.epoch(),
                Marks.of(core.node().voter().diskId()),
                true,
                false,
                asker.node().book().policy().version(),
                0);
    }
}
