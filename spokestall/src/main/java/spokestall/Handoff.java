package spokestall;

import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import spokestall.ballot.BallotNote;
import spokestall.ballot.FormNote;
import spokestall.ballot.Register;
import spokestall.ballot.Seat;
import spokestall.ballot.Voter;
import spokestall.ballot.Voters;
import spokestall.edge.Edge;
import spokestall.hand.HandNote;
import spokestall.hand.Hints;
import spokestall.hand.Shelf;

/** What this node keeps for others: names of registers that a voter missed, and answers of run-once requests. */
final class Handoff {
    private static final int HINTS_KEPT = 16_384;
    private static final int HANDED_AT_ONCE = 512;
    /** How many cores an edge tells of a voter that missed a change. */
    private static final int CORES_TOLD = 2;

    private static final int CORE_SHELF_BYTES = 16 << 20;
    private static final int EDGE_SHELF_BYTES = 8 << 20;
    private final NodeContext context;
    private final Supplier<Voters> voters;
    private final ToLongFunction<String> heardMs;
    final Hints hints = new Hints(HINTS_KEPT);
    final Shelf shelf;

    /** heardMs tells how long ago a core's answer was heard, by the core's name. */
    Handoff(final NodeContext context, final Supplier<Voters> voters, final ToLongFunction<String> heardMs) {
        this.context = context;
        this.voters = voters;
        this.heardMs = heardMs;
        this.shelf = new Shelf(context.core ? CORE_SHELF_BYTES : EDGE_SHELF_BYTES);
    }

    /** A voter missed a change: this core keeps the name for it, or an edge has two cores keep it. */
    void missed(final String seat, final String key) {
        if (context.core) {
            hints.keep(seat, key);
            return;
        }
        int told = 0;
        for (final Seat other : voters.get().seats()) {
            final boolean apt = !other.name().equals(seat)
                    && heardMs.applyAsLong(other.name()) < context.settings().heardMs();
            if (told < CORES_TOLD && apt) {
                context.post.send(other.address(), new HandNote.Hint(seat, key));
                told++;
            }
        }
    }

    /** Hands over what a voter that is back should have had. It takes it like any late word of a chosen value. */
    void handOver(final FormNote.Standing back, final Voter voter) {
        if (voter.state() != Voter.State.VOTING || !voters.get().same(back.generation(), back.epoch())) {
            return;
        }
        final Voters table = voters.get();
        for (final String key : hints.take(back.name(), HANDED_AT_ONCE)) {
            final Register register = voter.registers().get(key);
            if (register != null && register.value() != null) {
                context.post.send(
                        back.address(),
                        new BallotNote.Chosen(
                                table.generation(), table.epoch(), key, register.accepted(), register.value()));
            }
        }
    }

    /** The edge is null where this node answers no clients. */
    void hear(final HandNote message, final Edge edge) {
        if (message instanceof HandNote.Hint hint) {
            hints.keep(hint.missing(), hint.key());
        } else if (message instanceof HandNote.Keep keep) {
            shelf.keep(keep);
        } else if (message instanceof HandNote.Ask ask) {
            answer(ask);
        } else if (message instanceof HandNote.Back back && edge != null) {
            edge.hear(back);
        }
    }

    private void answer(final HandNote.Ask ask) {
        final HandNote.Keep found = shelf.find(ask.key(), ask.digest());
        context.post.send(
                ask.from(), new HandNote.Back(ask.askId(), ask.key(), found == null ? null : found.content()));
    }
}
