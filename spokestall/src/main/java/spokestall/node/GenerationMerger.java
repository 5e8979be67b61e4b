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
import spokestall.membership.InitialStateMerger;
import spokestall.membership.SurvivingState;
import spokestall.message.MessageCodec;
import spokestall.proxy.IdempotencyClaim;
import spokestall.time.FleetClock;

/**
 * Merges the initial state of a new generation from the surviving state of the previous one.
 *
 * <p>The new generation's number is greater than every generation that any survivor has seen, and than the generation
 * part of every fencing token and configuration version that any survivor has seen, so that none of these numbers is
 * used twice. The initial state contains the idempotency claims, the usage windows, the leases (released) and the
 * newest configuration. All entries are written under the same proposal number, which is lower than that of any later
 * proposal.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class GenerationMerger implements InitialStateMerger {
    /**
     * Key of the register with the fleet time at which the generation began, in milliseconds as decimal text. Part of
     * the stored format.
     */
    static final String GENERATION_START_KEY = "duty/floor";

    private static final String LEASE_KEYS = "duty/";
    private static final String USAGE_KEYS = "usage/";
    private static final String CHANGE_ID_PREFIX = "founding-";
    private static final ProposalNumber INITIAL_PROPOSAL = new ProposalNumber(1, "found");
    private static final int MILLIS_PER_SECOND = 1000;

    private final FleetClock fleetClock;

    GenerationMerger(final FleetClock fleetClock) {
        this.fleetClock = fleetClock;
    }

    @Override
    public InitialState merge(
            final long baseGeneration, final List<SurvivingState> survivors, final List<Voter> voters) {
        final long generation = nextGeneration(baseGeneration, survivors);
        final VoterSet voterSet = new VoterSet(generation, 1, voters);
        final TreeMap<String, Register> newest = newestRegisters(baseGeneration, survivors);
        final List<ConsensusMessage.Entry> entries = new ArrayList<>();
        newest.forEach((key, register) -> {
            if (IdempotencyClaim.isClaimKey(key) || key.startsWith(USAGE_KEYS)) {
                entries.add(entry(key, register.value()));
            } else if (key.startsWith(LEASE_KEYS) && !key.equals(GENERATION_START_KEY)) {
                entries.add(entry(key, MessageCodec.encodeRecord(released(register.value()))));
            }
        });
        entries.add(
                entry(GENERATION_START_KEY, Long.toString(fleetClock.nowMs()).getBytes(StandardCharsets.UTF_8)));
        entries.add(entry(
                ConfigurationKeys.keyOf(voterSet.firstNumber()), configurationChange(survivors, newest, generation)));
        return new InitialState(voterSet, entries);
    }

    /**
     * Returns a generation above all numbers that survived. It is at least the fleet's time in seconds, in case higher
     * numbers were lost with the voters that did not survive.
     */
    private long nextGeneration(final long baseGeneration, final List<SurvivingState> survivors) {
        long generation = Math.max(baseGeneration + 1, fleetClock.nowMs() / MILLIS_PER_SECOND);
        for (final SurvivingState survivor : survivors) {
            generation = Math.max(generation, survivor.generation() + 1);
            generation = Math.max(generation, (survivor.fencingToken() >> VoterSet.GENERATION_SHIFT) + 1);
            generation = Math.max(generation, (survivor.configurationVersion() >> VoterSet.GENERATION_SHIFT) + 1);
        }
        return generation;
    }

    private static Lease released(final byte[] value) {
        final Lease lease = MessageCodec.decodeRecord(value, Lease.class);
        return new Lease(lease.owner(), lease.holder(), lease.renewal(), lease.fencingToken(), lease.spanMs(), false);
    }

    private static ConsensusMessage.Entry entry(final String key, final byte[] value) {
        return new ConsensusMessage.Entry(key, new Register(INITIAL_PROPOSAL, INITIAL_PROPOSAL, value));
    }

    /**
     * Returns each register as it was accepted under the highest proposal number by any voter that has state of the
     * base generation.
     */
    private static TreeMap<String, Register> newestRegisters(
            final long baseGeneration, final List<SurvivingState> survivors) {
        final TreeMap<String, Register> newest = new TreeMap<>();
        for (final SurvivingState survivor : survivors) {
            if (survivor.hasState() && survivor.generation() == baseGeneration) {
                for (final ConsensusMessage.Entry entry : survivor.registers()) {
                    if (entry.register().value() != null) {
                        newest.merge(
                                entry.key(),
                                entry.register(),
                                (a, b) -> b.accepted().compareTo(a.accepted()) > 0 ? b : a);
                    }
                }
            }
        }
        return newest;
    }

    /**
     * Returns the change that sets the new generation's first configuration: the newest configuration that any survivor
     * has, plus the accepted changes on top of it, because these may have been acknowledged. Includes the ids of the
     * changes that led to this configuration, because clients may retry them.
     */
    private byte[] configurationChange(
            final List<SurvivingState> survivors, final TreeMap<String, Register> newest, final long generation) {
        final ConfigurationStore merged = new ConfigurationStore(1);
        for (final SurvivingState survivor : survivors) {
            if (survivor.configuration() != null) {
                merged.load(MessageCodec.decodeRecord(survivor.configuration(), ConfigurationSnapshot.class));
            }
        }
        newest.forEach((key, register) -> {
            final long version = ConfigurationKeys.versionOf(key);
            final boolean firstOfGeneration =
                    version == (version >> VoterSet.GENERATION_SHIFT) << VoterSet.GENERATION_SHIFT;
            if (version > merged.configuration().version()
                    && (firstOfGeneration || version == merged.configuration().version() + 1)) {
                merged.apply(version, MessageCodec.decodeRecord(register.value(), ConfigurationChange.class));
            }
        });
        return MessageCodec.encodeRecord(new ConfigurationChange(
                CHANGE_ID_PREFIX + generation,
                ConfigurationChange.Kind.PUT,
                merged.snapshot().json(),
                fleetClock.nowMs(),
                merged.committedChanges()));
    }
}
