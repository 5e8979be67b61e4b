package spokestall.configuration.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.configuration.ConfigurationSnapshot;
import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.Proposer;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.discovery.EndpointRegistry;
import spokestall.discovery.HealthSource;
import spokestall.gossip.NodeInfo;
import spokestall.message.Fingerprints;
import spokestall.message.Message;
import spokestall.time.ManualClock;

/** Tests from which core a feed client fetches updates, and which answers confirm its lease. */
class FeedClientTest {
    private record Sent(String to, Message message) {}

    private static final long TICK_MS = 400;
    private static final VoterSet VOTER_SET =
            new VoterSet(1, 1, List.of(voter("a"), voter("b"), voter("c"), voter("d"), voter("e")));
    private static final long BASE = VOTER_SET.firstNumber();
    private final List<Sent> sent = new ArrayList<>();
    private final ManualClock clock = new ManualClock(1_000_000);
    private final ConfigurationStore configurationStore = new ConfigurationStore(8);
    private final NodeInfo self = new NodeInfo("edge", "x", "x", false, "d1", "r1", 7, 0, false, 5, 1, false);
    private final FeedClient client;

    FeedClientTest() {
        final Proposer proposer = new Proposer(
                "edge#7",
                "x",
                (to, message) -> sent.add(new Sent(to, message)),
                clock,
                new Random(1),
                new Proposer.Timing(400, 50, 64),
                (voter, key) -> {});
        proposer.updateVoterSet(VOTER_SET);
        configurationStore.load(snapshot(BASE + 1));
        client = new FeedClient(
                new Edge(),
                new FeedReplica(configurationStore, new EndpointRegistry(7, 64, 4000, HealthSource.PROBES), proposer),
                (to, message) -> sent.add(new Sent(to, message)),
                clock,
                new FeedClient.Timings(1000, 32, 3 * TICK_MS, 64, false),
                new IgnoringListener());
    }

    /** An edge whose nearest core is "a" and whose most distant core is "e". */
    private final class Edge implements FeedNode {
        @Override
        public NodeInfo info() {
            return self;
        }

        @Override
        public int openRequests() {
            return 0;
        }

        @Override
        public List<String> coreAddresses() {
            return List.of();
        }

        @Override
        public int distanceTo(final String address) {
            return address.charAt(0);
        }
    }

    private static final class IgnoringListener implements FeedListener {
        @Override
        public void onNewerVoterSet(final VoterSet voterSet) {}

        @Override
        public void onConfigurationApplied() {}
    }

    private static Voter voter(final String name) {
        return new Voter(name, name, "disk-" + name);
    }

    private static ConfigurationSnapshot snapshot(final long version) {
        return new ConfigurationSnapshot(version, "{}".getBytes(StandardCharsets.UTF_8), List.of());
    }

    /** Ticks the client once and returns the messages that it sent. */
    private List<Sent> tick() {
        sent.clear();
        client.onTick();
        return List.copyOf(sent);
    }

    private static List<String> updateRequestTargets(final List<Sent> messages) {
        return messages.stream()
                .filter(s -> s.message instanceof FeedMessage.FeedRequest request && request.wantsUpdates())
                .map(Sent::to)
                .toList();
    }

    private static long requestId(final List<Sent> messages) {
        return ((FeedMessage.FeedRequest) messages.stream()
                        .filter(s -> s.message instanceof FeedMessage.FeedRequest)
                        .findFirst()
                        .orElseThrow()
                        .message)
                .requestId();
    }

    private void answer(final String core, final long requestId, final long applied) {
        client.onMessage(new FeedMessage.FreshnessResponse(
                core, requestId, 1, 1, Fingerprints.of("disk-" + core), true, false, applied, 0));
    }

    private void answerWithUpdates(
            final String core, final long requestId, final long applied, final ConfigurationSnapshot snapshot) {
        client.onMessage(new FeedMessage.FeedResponse(
                core,
                "disk-" + core,
                requestId,
                null,
                true,
                applied,
                applied,
                List.of(),
                snapshot,
                List.of(),
                9,
                1,
                List.of(),
                List.of(),
                1,
                1,
                true,
                0));
    }

    /** After a process pause, answers that arrived before the pause are delivered first; timers run only after them. */
    @Test
    void confirmationAfterTheDeadlineIsReportedAsFailed() {
        clock.ignoreTimers();
        final List<Boolean> results = new ArrayList<>();
        sent.clear();
        client.lease().awaitConfirmation(500, results::add);
        final long inTime = requestId(sent);
        clock.advance(200);
        List.of("b", "c", "d").forEach(core -> answer(core, inTime, BASE + 1));
        assertThat(results).containsExactly(true);
        sent.clear();
        client.lease().awaitConfirmation(500, results::add);
        final long late = requestId(sent);
        clock.advance(20_000);
        List.of("b", "c", "d").forEach(core -> answer(core, late, BASE + 1));
        assertThat(results).containsExactly(true, false);
    }

    @Test
    void requestsUpdatesFromOneCoreOnlyWhenAllAreAhead() {
        final List<Sent> first = tick();
        assertThat(updateRequestTargets(first)).containsExactly("a");
        sent.clear();
        clock.advance(20);
        for (final String core : List.of("b", "c", "d", "e")) {
            answer(core, requestId(first), BASE + 2);
        }
        assertThat(updateRequestTargets(sent))
                .as("the request to the nearest core is still in flight")
                .isEmpty();
        answerWithUpdates("a", requestId(first), BASE + 2, snapshot(BASE + 2));
        assertThat(configurationStore.configuration().version()).isEqualTo(BASE + 2);
        assertThat(updateRequestTargets(sent)).isEmpty();
        assertThat(client.lease().ageMs())
                .as("the round of the tick confirmed the lease")
                .isEqualTo(20);
    }

    @Test
    void requestsUpdatesFromACoreAheadWhenTheUpdateSourceIsBehind() {
        final List<Sent> first = tick();
        sent.clear();
        clock.advance(20);
        for (final String core : List.of("e", "d", "c", "b")) {
            answer(core, requestId(first), BASE + 2);
        }
        answerWithUpdates("a", requestId(first), BASE + 1, null);
        assertThat(updateRequestTargets(sent)).containsExactly("b");
    }

    @Test
    void requestsUpdatesFromAnotherCoreWhenTheUpdateSourceDoesNotRespond() {
        tick();
        clock.advance(TICK_MS);
        final List<Sent> second = tick();
        sent.clear();
        clock.advance(20);
        for (final String core : List.of("b", "c", "d", "e")) {
            answer(core, requestId(second), BASE + 2);
        }
        assertThat(updateRequestTargets(sent)).containsExactly("b");
        answerWithUpdates("b", 0, BASE + 2, snapshot(BASE + 2));
        assertThat(configurationStore.configuration().version()).isEqualTo(BASE + 2);
    }

    @Test
    void doesNotRetryEndlesslyWhenACoreReportsANewerVersionButSendsNoUpdates() {
        final List<Sent> first = tick();
        sent.clear();
        answerWithUpdates("a", requestId(first), BASE + 2, null);
        for (int i = 0; i < 10; i++) {
            answerWithUpdates("a", 0, BASE + 2, null);
        }
        assertThat(updateRequestTargets(sent)).hasSizeLessThanOrEqualTo(1);
    }
}
