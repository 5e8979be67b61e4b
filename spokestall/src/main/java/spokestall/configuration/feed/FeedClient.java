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
 * Keeps this node's configuration up to date by fetching the versions after the applied one from the cores, and maintains
 * this node's {@link FreshnessLease}.
 *
 * <p>Each tick sends one round of the lease: the client requests the newest version from every core, and from one core
 * (chosen by {@link UpdateSource}) also changes and registry entries. Changes are applied in version order only. If a
 * majority may have accepted a version but no core is known to have applied it, the client reads that version's register
 * through the proposer; the read completes the proposal.
 *
 * <p>Not thread-safe; call only on the node's event loop.
 */
public final class FeedClient {
    /**
     * The client's timing settings.
     *
     * @param freshMs the duration of the freshness lease, in milliseconds
     * @param openRoundsMax the maximum number of rounds that are kept while they wait for answers
     * @param updateTimeoutMs the time without updates, in milliseconds, after which the client switches to the next nearest core
     * @param probeInterval the number of ticks after which the client requests updates from a more distant core once
     * @param fullRequests whether every request is a {@link FeedMessage.FeedRequest}, for cores that don't support
     *     {@link FeedMessage.FreshnessRequest}
     */
    public record Timings(
            long freshMs, int openRoundsMax, long updateTimeoutMs, int probeInterval, boolean fullRequests) {
        FreshnessLease.Timings lease() {
            return new FreshnessLease.Timings(freshMs, openRoundsMax);
        }
    }

    /**
     * A core's most recent report about itself.
     *
     * @param voting whether the core's acceptor votes
     * @param appliedVersion the version that the core has applied
     * @param newestVersion the newest version that the core has accepted or applied
     */
    public record CoreReport(boolean voting, long appliedVersion, long newestVersion) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** The request id of requests that don't belong to a round of the lease. */
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

    /** Creates a client; the client sends no requests before its first tick. */
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

    /** Applies new timings after the settings are reloaded. */
    public void updateTimings(final Timings newer) {
        timings = newer;
        lease.updateTimings(newer.lease());
        updateSource.updateTimings(newer);
    }

    /** Returns the freshness lease; while it is valid, this node may act on its applied configuration. */
    public FreshnessLease lease() {
        return lease;
    }

    /** Returns whether the freshness lease is valid. */
    public boolean isFresh() {
        return lease.isFresh();
    }

    /** Returns a live, unmodifiable view of the most recent report of each core, by core name. */
    public Map<String, CoreReport> coreReports() {
        return Collections.unmodifiableMap(coreReports);
    }

    /** Returns the time since a core's last response, in milliseconds; {@link Long#MAX_VALUE} if it never responded. */
    public long sinceResponseMs(final String coreName) {
        final Long respondedMs = lastResponseMs.get(coreName);
        return respondedMs == null ? Long.MAX_VALUE : clock.nowMs() - respondedMs;
    }

    /**
     * Returns the address of the nearest core that reported within the update timeout that it votes. The result is empty if
     * there is none, if this node knows no voter set, or if this node is itself a voter.
     */
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

    /** Returns the edges of the last report if a core sent or confirmed it within {@code maxAgeMs}; otherwise an empty list. */
    public List<NodeInfo> edgesReportedWithin(final long maxAgeMs) {
        return reportedEdges.reportedWithin(maxAgeMs);
    }

    /** Sends one round of the lease: requests the newest version from every core, and updates from one core. */
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

    /** Requests updates from the nearest core that reported a newer applied version than this node's, if there is one. */
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

    /** Handles a response or notification from a core. {@link FeedServer} handles requests. */
    public void onMessage(final FeedMessage message) {
        if (message instanceof FeedMessage.FeedUpdate update) {
            onUpdate(update);
        } else if (message instanceof FeedMessage.FeedResponse response) {
            onFeedResponse(response);
        } else if (message instanceof FeedMessage.FreshnessResponse response) {
            onFreshnessResponse(response);
        }
    }

    /** Handles a notification of a chosen version; a chosen change can be applied before a round confirms it. */
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
     * Processes a core's report: counts it for the lease, then fetches or completes newer versions.
     *
     * @param sameVoterSet whether the core has the same voter set as this node; a report from another voter set doesn't count
     *     for the lease
     * @param diskOfVoter whether the core's disk id is the one that the voter set has for this voter
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

    /**
     * Reads the register of the next version if a core has accepted a value for it and no core is known to have applied it. The
     * read completes the unfinished proposal.
     */
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
     * Applies a chosen change if it is the next version, or the first version of the voter set's generation. Other versions are
     * ignored here and fetched in order later. This node must know a voter set.
     *
     * @param encodedChange the register's value: an encoded {@link ConfigurationChange}
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
