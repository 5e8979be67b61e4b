package spokestall.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationSnapshot;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Register;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.lease.Lease;
import spokestall.membership.InitialState;
import spokestall.membership.MembershipCoordinator;
import spokestall.membership.SurvivingState;
import spokestall.message.MessageCodec;
import spokestall.proxy.IdempotencyClaim;
import spokestall.time.FleetClock;

/** Makes a new generation out of what is left of the old one, above every number that anyone has seen. */
final class GenerationMerger implements MembershipCoordinator.Merger {
    static final String FLOOR = "duty/floor";
    private static final ProposalNumber FOUND = new ProposalNumber(1, "found");
    private final FleetClock fleet;

    GenerationMerger(final FleetClock fleet) {
        this.fleet = fleet;
    }

    @Override
    public InitialState merge(final long base, final List<SurvivingState> survivingState, final List<Voter> voters) {
        long generation = Math.max(base + 1, fleet.nowMs() / 1000);
        for (final SurvivingState r : survivingState) {
            generation = Math.max(generation, r.generation() + 1);
            generation = Math.max(generation, (r.token() >> VoterSet.GENERATION_SHIFT) + 1);
            generation = Math.max(generation, (r.configurationVersion() >> VoterSet.GENERATION_SHIFT) + 1);
        }
        final VoterSet table = new VoterSet(generation, 1, voters);
        final TreeMap<String, Register> newest = newest(base, survivingState);
        final List<ConsensusMessage.Entry> entries = new ArrayList<>();
        newest.forEach((key, r) -> {
            if (IdempotencyClaim.isKey(key) || key.startsWith("usage/")) {
                entries.add(entry(key, r.value()));
            } else if (key.startsWith("duty/") && !key.equals(FLOOR)) {
                final Lease l = MessageCodec.decodeRecord(r.value(), Lease.class);
                entries.add(entry(
                        key,
                        MessageCodec.encodeRecord(
                                new Lease(l.owner(), l.holder(), l.renewal(), l.fencingToken(), l.spanMs(), false))));
            }
        });
        entries.add(entry(FLOOR, Long.toString(fleet.nowMs()).getBytes(StandardCharsets.UTF_8)));
        entries.add(
                entry(ConfigurationKeys.key(table.firstNumber()), configuration(survivingState, newest, generation)));
        return new InitialState(table, entries);
    }

    private static ConsensusMessage.Entry entry(final String key, final byte[] value) {
        return new ConsensusMessage.Entry(key, new Register(FOUND, FOUND, value));
    }

    private static TreeMap<String, Register> newest(final long base, final List<SurvivingState> survivingState) {
        final TreeMap<String, Register> newest = new TreeMap<>();
        for (final SurvivingState r : survivingState) {
            if (r.hasState() && r.generation() == base) {
                for (final ConsensusMessage.Entry e : r.registers()) {
                    if (e.register().value() != null) {
                        newest.merge(
                                e.key(), e.register(), (a, b) -> b.accepted().compareTo(a.accepted()) > 0 ? b : a);
                    }
                }
            }
        }
        return newest;
    }

    /** The newest configuration anyone has, and on top of it what was accepted after it and may have been acknowledged; with the
     * orders that made it, which may be sent again. */
    private byte[] configuration(
            final List<SurvivingState> survivingState, final TreeMap<String, Register> newest, final long generation) {
        final ConfigurationStore configurationStore = new ConfigurationStore(1);
        for (final SurvivingState r : survivingState) {
            if (r.configuration() != null) {
                configurationStore.load(MessageCodec.decodeRecord(r.configuration(), ConfigurationSnapshot.class));
            }
        }
        newest.forEach((key, r) -> {
            final long version = ConfigurationKeys.of(key);
            final boolean first = version == (version >> VoterSet.GENERATION_SHIFT) << VoterSet.GENERATION_SHIFT;
            if (version > configurationStore.configuration().version()
                    && (first || version == configurationStore.configuration().version() + 1)) {
                configurationStore.apply(version, MessageCodec.decodeRecord(r.value(), ConfigurationChange.class));
            }
        });
        return MessageCodec.encodeRecord(new ConfigurationChange(
                "founding-" + generation,
                ConfigurationChange.Kind.PUT,
                configurationStore.snapshot().json(),
                fleet.nowMs(),
                configurationStore.orders()));
    }
}
