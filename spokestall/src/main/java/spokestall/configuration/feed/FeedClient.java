package spokestall.configuration.feed;

import com.google.common.flogger.FluentLogger;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.discovery.EndpointRegistry;
import spokestall.gossip.NodeInfo;
import spokestall.message.Fingerprints;
import spokestall.message.MessageCodec;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * Follows the numbered changes of the configuration from the version applied here, and keeps this node's
 * {@link FreshnessLease}.
 *
 * <p>Each tick is one round of the lease: it requests the newest version of every core, and of one of them
 * ({@link UpdateSource}) also changes and registry entries. Changes are applied in order only. A version that a majority
 * may have accepted but that no core is known to have applied is read through the proposer, which completes it.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class FeedClient {
    /**
     * The client's timings, from the settings.
     *
     * @param freshMs the freshness lease's duration
     * @param openRoundsMax how many unanswered rounds are kept
     * @param updateTimeoutMs a source that sent no updates for so long is replaced by the next nearest
     * @param probeInterval every so many ticks updates are requested of a more distant core instead
     * @param fullRequests whether every request is a {@link FeedMessage.FeedRequest}, for cores that know no other
     */
    public record Timings(
            long freshMs, int openRoundsMax, long updateTimeoutMs, int probeInterval, boolean fullRequests) {
        FreshnessLease.Timings lease() {
            return new FreshnessLease.Timings(freshMs, openRoundsMax);
        }
    }

    /** What a core last reported of itself: whether it votes, what it applied, and the newest version it accepted. */
    public record CoreReport(boolean voting, long appliedVersion, long newestVersion) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** The request id of what belongs to no round. */
    private static final long NO_ROUND = 0;

    private final String address;
    private final FeedNode node;
    private final ConfigurationStore configurationStore;
    private final EndpointRegistry endpointRegistry;
    private final Proposer proposer;
    private final MessageSender sender;
    private final Clock clock;
    private final FeedListener listener;
    private final FreshnessLease lease;
    private final UpdateSource updateSource;
    private final ReportedEdges reportedEdges;
    private final Map<String, CoreReport> coreReports = new TreeMap<>();
    private final Map<String, Long> lastResponseMs = new HashMap<>();
    private Timings timings;
    private long nextRequestId = NO_ROUND + 1;
    private boolean completing;

    /** Creates a client; it sends nothing before its first tick. */
    public FeedClient(
            final FeedNode node,
            final FeedReplica replica,
            final MessageSender sender,
            final Clock clock,
            final Timings timings,
            final FeedListener listener) {
        this.node = node;
        this.address = node.info().address();
        this.configurationStore = replica.configurationStore();
        this.endpointRegistry = replica.endpointRegistry();
        this.proposer = replica.proposer();
        this.sender = sender;
        this.clock = clock;
        this.timings = timings;
        this.listener = listener;
        this.lease = new FreshnessLease(clock, timings.lease(), this::onTick);
        this.updateSource = new UpdateSource(address, node, clock, timings);
        this.reportedEdges = new ReportedEdges(clock);
    }

    /** Goes on with other timings, after the settings were reloaded. */
    public void updateTimings(final Timings newer) {
        timings = newer;
        lease.updateTimings(newer.lease());
        updateSource.updateTimings(newer);
    }

    /** Returns the lease that tells whether the configuration here may be acted on. */
    public FreshnessLease lease() {
        return lease;
    }

    /** Returns whether the freshness lease is valid. */
    public boolean isFresh() {
        return lease.isFresh();
    }

    /** Returns what the cores last reported, by name; a live view. */
    public Map<String, CoreReport> coreReports() {
        return Collections.unmodifiableMap(coreReports);
    }

    /** Returns how long ago a core last responded, in milliseconds; {@link Long#MAX_VALUE} if it never did. */
    public long sinceResponseMs(final String coreName) {
        final Long respondedMs = lastResponseMs.get(coreName);
        return respondedMs == null ? Long.MAX_VALUE : clock.nowMs() - respondedMs;
    }

    /** Returns the address of the nearest core that reported of late that it votes; empty if this node is a voter itself. */
    public Optional<String> nearestVoter() {
        final VoterSet voterSet = proposer.voterSet();
        if (voterSet == null
                || voterSet.voters().stream().anyMatch(voter -> voter.address().equals(address))) {
            return Optional.empty();
        }
        return voterSet.voters().stream()
                .filter(voter -> sinceResponseMs(voter.name()) <= timings.updateTimeoutMs()
                        && coreReports.get(voter.name()).voting())
                .map(Voter::address)
                .min(Comparator.comparingInt(node::distanceTo));
    }

    /** Returns the edges that a core reported within this time. */
    public List<NodeInfo> edgesReportedWithin(final long maxAgeMs) {
        return reportedEdges.reportedWithin(maxAgeMs);
    }

    /** Sends one round: requests the newest version of every core, and updates of one of them. */
    public void onTick() {
        final VoterSet voterSet = proposer.voterSet();
        final List<String> cores = voterSet == null
                ? node.coreAddresses()
                : voterSet.voters().stream().map(Voter::address).toList();
        if (cores.isEmpty()) {
            return;
        }
        final long requestId = nextRequestId++;
        lease.onRoundSent(requestId, voterSet);
        final String source = updateSource.pick(cores);
        updateSource.onTickRequested(source);
        for (final String core : cores) {
            final boolean wantsUpdates = core.equals(source);
            sender.send(
                    core,
                    wantsUpdates || timings.fullRequests()
                            ? feedRequest(core, requestId, wantsUpdates)
                            : freshnessRequest(requestId, voterSet));
        }
    }

    private FeedMessage.FreshnessRequest freshnessRequest(final long requestId, final VoterSet voterSet) {
        final NodeInfo info = node.info();
        return new FeedMessage.FreshnessRequest(
                address,
                info.incarnation(),
                info.servesClients(),
                lease.isFresh(),
                info.leaving(),
                node.openRequests(),
                requestId,
                voterSet == null ? 0 : voterSet.generation(),
                voterSet == null ? 0 : voterSet.epoch());
    }

    private FeedMessage.FeedRequest feedRequest(final String core, final long requestId, final boolean wantsUpdates) {
        final VoterSet voterSet = proposer.voterSet();
        return new FeedMessage.FeedRequest(
                address,
                node.info(),
                lease.isFresh(),
                node.openRequests(),
                requestId,
                wantsUpdates,
                appliedVersion(),
                endpointRegistry.peerIncarnation(core),
                endpointRegistry.peerOffset(core),
                voterSet == null ? 0 : voterSet.generation(),
                voterSet == null ? 0 : voterSet.epoch(),
                reportedEdges.digest());
    }

    private void fetchUpdates(final String core) {
        updateSource.onRequested(core);
        sender.send(core, feedRequest(core, NO_ROUND, true));
    }

    /** Fetches from the nearest core that is known to be ahead, if any is. */
    private void fetchFromCoreAhead(final VoterSet voterSet) {
        voterSet.voters().stream()
                .filter(voter -> {
                    final CoreReport report = coreReports.get(voter.name());
                    return report != null && report.appliedVersion() > appliedVersion();
                })
                .map(Voter::address)
                .filter(core -> !core.equals(address))
                .min(Comparator.comparingInt(node::distanceTo))
                .ifPresent(this::fetchUpdates);
    }

    /** Receives a core's response or notification; requests are for {@link FeedServer}. */
    public void onMessage(final FeedMessage message) {
        if (message instanceof FeedMessage.FeedUpdate update) {
            onUpdate(update);
        } else if (message instanceof FeedMessage.FeedResponse response) {
            onFeedResponse(response);
        } else if (message instanceof FeedMessage.FreshnessResponse response) {
            onFreshnessResponse(response);
        }
    }

    /** What a core notifies of was chosen, so it may be applied before any round confirms it. */
    private void onUpdate(final FeedMessage.FeedUpdate update) {
        if (update.encodedChange() != null && proposer.voterSet() != null) {
            applyChosen(update.version(), update.encodedChange());
        }
        if (update.version() > appliedVersion()) {
            onTick();
        }
    }

    private void onFeedResponse(final FeedMessage.FeedResponse response) {
        if (response.voterSet() != null && response.voterSet().newerThan(proposer.voterSet())) {
            listener.onNewerVoterSet(response.voterSet());
        }
        final VoterSet voterSet = proposer.voterSet();
        final Voter voter = voterSet == null ? null : voterSet.voter(response.voterName());
        if (voter != null) {
            endpointRegistry.mergeFrom(
                    voter.address(),
                    response.registryIncarnation(),
                    response.registryOffset(),
                    response.endpoints(),
                    response.healthObservations());
        }
        if (response.hasUpdates()) {
            updateSource.onUpdates();
            reportedEdges.onResponse(response);
        }
        final boolean endedFetch =
                updateSource.onResponse(voter == null ? null : voter.address(), response.hasUpdates());
        final boolean sameVoterSet = response.answersFor(voterSet);
        if (sameVoterSet) {
            applyUpdates(response);
        }
        onCoreReport(
                response.voterName(),
                new CoreReport(response.voting(), response.appliedVersion(), response.newestVersion()),
                response.requestId(),
                sameVoterSet,
                voter != null && voter.diskId().equals(response.diskId()));
        if (endedFetch && !updateSource.hasPending() && sameVoterSet && response.requestId() != NO_ROUND) {
            fetchFromCoreAhead(voterSet);
        }
    }

    private void onFreshnessResponse(final FeedMessage.FreshnessResponse response) {
        final VoterSet voterSet = proposer.voterSet();
        final Voter voter = voterSet == null ? null : voterSet.voter(response.voterName());
        if (response.clientUnknown() && voter != null) {
            sender.send(voter.address(), feedRequest(voter.address(), NO_ROUND, false));
        }
        onCoreReport(
                response.voterName(),
                new CoreReport(
                        response.voting(),
                        response.newestVersion() - response.versionsBehind(),
                        response.newestVersion()),
                response.requestId(),
                voterSet != null && voterSet.hasEpoch(response.generation(), response.epoch()),
                voter != null && Fingerprints.of(voter.diskId()) == response.diskFingerprint());
    }

    /**
     * Takes what a core reported of itself.
     *
     * @param sameVoterSet whether it answered out of this node's voter set; else it confirms nothing
     * @param diskOfVoter whether it answered from the disk that the voter set names
     */
    private void onCoreReport(
            final String coreName,
            final CoreReport report,
            final long requestId,
            final boolean sameVoterSet,
            final boolean diskOfVoter) {
        coreReports.put(coreName, report);
        lastResponseMs.put(coreName, clock.nowMs());
        if (!sameVoterSet) {
            return;
        }
        final VoterSet voterSet = proposer.voterSet();
        if (report.voting() && diskOfVoter) {
            lease.onAnswer(requestId, voterSet, coreName, report.newestVersion());
        }
        lease.renew(voterSet, appliedVersion());
        final Voter voter = voterSet.voter(coreName);
        if (report.appliedVersion() > appliedVersion() && voter != null && requestId != NO_ROUND) {
            if (!updateSource.isInFlight()) {
                fetchUpdates(voter.address());
            }
        } else if (report.newestVersion() > appliedVersion()) {
            completeNextVersion(voterSet);
        }
    }

    private void applyUpdates(final FeedMessage.FeedResponse response) {
        final long previousVersion = appliedVersion();
        if (response.snapshot() != null) {
            configurationStore.load(response.snapshot());
        }
        for (final FeedMessage.VersionedChange numbered : response.changes()) {
            if (numbered.version() == appliedVersion() + 1) {
                configurationStore.apply(numbered.version(), numbered.change());
            }
        }
        if (appliedVersion() != previousVersion) {
            onApplied(previousVersion);
        }
    }

    /** A version was proposed, and no core is known to have seen its end: reads it, which completes it. */
    private void completeNextVersion(final VoterSet voterSet) {
        if (completing) {
            return;
        }
        final long next = Math.max(appliedVersion() + 1, voterSet.firstNumber());
        if (coreReports.values().stream().anyMatch(report -> report.appliedVersion() >= next)) {
            return;
        }
        completing = true;
        proposer.read(ConfigurationKeys.keyOf(next), timings.freshMs() / 2, outcome -> {
            completing = false;
            if (outcome instanceof ProposalOutcome.Committed done
                    && done.value() != null
                    && proposer.voterSet() == voterSet) {
                applyChosen(next, done.value());
            }
        });
    }

    /**
     * Applies a change that this node knows to be chosen, if it is the next one; any other is fetched in its turn. This node
     * must know a voter set.
     *
     * @param encodedChange the register's value, an encoded {@link ConfigurationChange}
     */
    public void applyChosen(final long version, final byte[] encodedChange) {
        final VoterSet voterSet = proposer.voterSet();
        final long previousVersion = appliedVersion();
        if (version == previousVersion + 1 || version == voterSet.firstNumber() && version > previousVersion) {
            configurationStore.apply(version, MessageCodec.decodeRecord(encodedChange, ConfigurationChange.class));
            onApplied(previousVersion);
            lease.renew(voterSet, appliedVersion());
        }
    }

    private void onApplied(final long previousVersion) {
        LOG.atInfo().log(
                "event=configuration_applied node=%s version=%s before=%s",
                node.info().name(), appliedVersion(), previousVersion);
        listener.onConfigurationApplied();
    }

    private long appliedVersion() {
        return configurationStore.configuration().version();
    }
}
