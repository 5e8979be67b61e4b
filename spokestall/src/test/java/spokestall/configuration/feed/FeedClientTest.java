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
import spokestall.gossip.NodeInfo;
import spokestall.message.Fingerprints;
import spokestall.message.Message;
import spokestall.time.ManualClock;

/** Whom a follower asks for news, seen from the cores. */
class FeedClientTest {
    private record Sent(String to, Message message) {}

    private static final long TICK_MS = 400;
    private static final VoterSet TABLE =
            new VoterSet(1, 1, List.of(voter("a"), voter("b"), voter("c"), voter("d"), voter("e")));
    private static final long BASE = TABLE.firstNumber();
    private final List<Sent> sent = new ArrayList<>();
    private final ManualClock clock = new ManualClock(1_000_000);
    private final ConfigurationStore configurationStore = new ConfigurationStore(8);
    private final NodeInfo self = new NodeInfo("edge", "x", "x", false, "d1", "r1", 7, 0, false, 5, 1, false);
    private final FeedClient follower;

    FeedClientTest() {
        final Proposer proposer = new Proposer(
                "edge#7",
                "x",
                (to, message) -> sent.add(new Sent(to, message)),
                clock,
                new Random(1),
                new Proposer.Timing(400, 50, 64),
                (voter, key) -> {});
        proposer.updateVoterSet(TABLE);
        configurationStore.load(snapshot(BASE + 1));
        follower = new FeedClient(
                () -> self,
                configurationStore,
                new EndpointRegistry(7, 64, 4000, true),
                proposer,
                (to, message) -> sent.add(new Sent(to, message)),
                clock,
                new FeedClient.Timing(1000, 32, 3 * TICK_MS, 64, false),
                List::of,
                table -> {},
                () -> {},
                () -> 0,
                address -> address.charAt(0));
    }

    private static Voter voter(final String name) {
        return new Voter(name, name, "disk-" + name);
    }

    private static ConfigurationSnapshot snapshot(final long version) {
        return new ConfigurationSnapshot(version, "{}".getBytes(StandardCharsets.UTF_8), List.of());
    }

    /** Beats and gives what was sent. */
    private List<Sent> tick() {
        sent.clear();
        follower.tick();
        return List.copyOf(sent);
    }

    private static List<String> askedForNews(final List<Sent> of) {
        return of.stream()
                .filter(s -> s.message instanceof FeedMessage.FeedRequest a && a.update())
                .map(Sent::to)
                .toList();
    }

    private static long requestId(final List<Sent> of) {
        return ((FeedMessage.FeedRequest) of.stream()
                        .filter(s -> s.message instanceof FeedMessage.FeedRequest)
                        .findFirst()
                        .orElseThrow()
                        .message)
                .requestId();
    }

    private void proof(final String core, final long requestId, final long applied) {
        follower.hear(new FeedMessage.FreshnessResponse(
                core, requestId, 1, 1, Fingerprints.of("disk-" + core), true, false, applied, 0));
    }

    private void back(final String core, final long requestId, final long applied, final ConfigurationSnapshot with) {
        follower.hear(new FeedMessage.FeedResponse(
                core,
                "disk-" + core,
                requestId,
                null,
                true,
                applied,
                applied,
                List.of(),
                with,
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

    /** A node that stood still hears the replies of before its standstill first, and its timers only then. */
    @Test
    void whoAsksForWhatIsNewestHearsNothingOfAProofThatCameAfterItsTime() {
        clock.ignoreTimers();
        final List<Boolean> told = new ArrayList<>();
        sent.clear();
        follower.current(500, told::add);
        final long inTime = requestId(sent);
        clock.advance(200);
        List.of("b", "c", "d").forEach(core -> proof(core, inTime, BASE + 1));
        assertThat(told).containsExactly(true);
        sent.clear();
        follower.current(500, told::add);
        final long late = requestId(sent);
        clock.advance(20_000);
        List.of("b", "c", "d").forEach(core -> proof(core, late, BASE + 1));
        assertThat(told).containsExactly(true, false);
    }

    @Test
    void whenAllAreAheadOneIsAskedForNewsOnce() {
        final List<Sent> first = tick();
        assertThat(askedForNews(first)).containsExactly("a");
        sent.clear();
        clock.advance(20);
        for (final String core : List.of("b", "c", "d", "e")) {
            proof(core, requestId(first), BASE + 2);
        }
        assertThat(askedForNews(sent))
                .as("the nearest was asked already, its reply is on its way")
                .isEmpty();
        back("a", requestId(first), BASE + 2, snapshot(BASE + 2));
        assertThat(configurationStore.configuration().version()).isEqualTo(BASE + 2);
        assertThat(askedForNews(sent)).isEmpty();
        assertThat(follower.ageMs()).as("proved by the ask of the beat").isEqualTo(20);
    }

    @Test
    void whenWhoWasAskedIsBehindItselfOneThatIsAheadIsAskedAtOnce() {
        final List<Sent> first = tick();
        sent.clear();
        clock.advance(20);
        for (final String core : List.of("e", "d", "c", "b")) {
            proof(core, requestId(first), BASE + 2);
        }
        back("a", requestId(first), BASE + 1, null);
        assertThat(askedForNews(sent)).containsExactly("b");
    }

    @Test
    void whenWhoWasAskedIsSilentABeatLaterAnotherIsAsked() {
        tick();
        clock.advance(TICK_MS);
        final List<Sent> second = tick();
        sent.clear();
        clock.advance(20);
        for (final String core : List.of("b", "c", "d", "e")) {
            proof(core, requestId(second), BASE + 2);
        }
        assertThat(askedForNews(sent)).containsExactly("b");
        back("b", 0, BASE + 2, snapshot(BASE + 2));
        assertThat(configurationStore.configuration().version()).isEqualTo(BASE + 2);
    }

    @Test
    void aCoreThatSaysItIsAheadAndSendsNothingIsNotAskedWithoutEnd() {
        final List<Sent> first = tick();
        sent.clear();
        back("a", requestId(first), BASE + 2, null);
        for (int i = 0; i < 10; i++) {
            back("a", 0, BASE + 2, null);
        }
        assertThat(askedForNews(sent)).hasSizeLessThanOrEqualTo(1);
    }
}
