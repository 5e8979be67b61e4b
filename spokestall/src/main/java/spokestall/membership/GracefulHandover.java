package spokestall.membership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.Register;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * What a voter does last before it leaves: it sees to it that a majority of the seats without its own hold whatever it has
 * accepted. What another lacks is sent to it as any late word of an accepted value. It ends after a bounded time, done or
 * not: its seat stays, and it may be back in a moment.
 */
public final class GracefulHandover {
    /** How often it asks anew, and how long it may take. */
    public record Timing(long askMs, long mostMs) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String name;
    private final String address;
    private final Acceptor acceptor;
    private final MessageSender post;
    private final Clock clock;
    private final Timing timing;
    private final Set<String> holders = new HashSet<>();
    private long untilMs;
    private VoterSet table;
    private Runnable done;

    /** Example: {@code new GracefulHandover("d1-core", address, acceptor, post, clock, new Timing(110, 880))} */
    public GracefulHandover(
            final String name,
            final String address,
            final Acceptor acceptor,
            final MessageSender post,
            final Clock clock,
            final Timing timing) {
        this.name = name;
        this.address = address;
        this.acceptor = acceptor;
        this.post = post;
        this.clock = clock;
        this.timing = timing;
    }

    /** Hands over, then runs what is given; at once if there is nothing that others could lack. */
    public void begin(final Runnable then) {
        untilMs = clock.nowMs() + timing.mostMs();
        done = then;
        ask();
    }

    private void ask() {
        if (done == null) {
            return;
        }
        final boolean alone =
                acceptor.voterSet() == null || acceptor.voterSet().voters().size() < 2;
        if (alone || !acceptor.hasState() || clock.nowMs() >= untilMs) {
            end();
            return;
        }
        if (acceptor.voterSet() != table) {
            table = acceptor.voterSet();
            holders.clear();
        }
        final List<ConsensusMessage.AcceptedEntry> held = held();
        for (final Voter voter : table.voters()) {
            if (!voter.name().equals(name) && !holders.contains(voter.name())) {
                post.send(
                        voter.address(),
                        new ConsensusMessage.HandoverRequest(address, table.generation(), table.epoch(), held));
            }
        }
        clock.after(timing.askMs(), this::ask);
    }

    private List<ConsensusMessage.AcceptedEntry> held() {
        final List<ConsensusMessage.AcceptedEntry> held = new ArrayList<>();
        acceptor.registers().forEach((key, register) -> {
            if (register.value() != null) {
                held.add(new ConsensusMessage.AcceptedEntry(key, register.accepted()));
            }
        });
        return held;
    }

    /** Hears what another voter lacks. */
    public void hear(final ConsensusMessage.HandoverResponse back) {
        if (done == null || table == null || !table.hasEpoch(back.generation(), back.epoch())) {
            return;
        }
        final Voter voter = table.voter(back.name());
        if (voter == null) {
            return;
        }
        if (back.lacking().isEmpty()) {
            holders.add(back.name());
        }
        for (final String key : back.lacking()) {
            final Register register = acceptor.registers().get(key);
            if (register != null && register.value() != null) {
                post.send(
                        voter.address(),
                        new ConsensusMessage.Chosen(
                                table.generation(), table.epoch(), key, register.accepted(), register.value()));
            }
        }
        if (holders.size() >= Math.min(table.majority(), table.voters().size() - 1)) {
            end();
        }
    }

    private void end() {
        LOG.atInfo().log("event=handover node=%s holders=%s", name, holders);
        final Runnable then = done;
        done = null;
        then.run();
    }
}
