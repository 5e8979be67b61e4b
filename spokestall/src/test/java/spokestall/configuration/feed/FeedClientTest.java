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
    private record Sent(String to, Message note) {}

    private static final long BEAT_MS = 400;
    private static final VoterSet TABLE =
            new VoterSet(1, 1, List.of(seat("a"), seat("b"), seat("c"), seat("d"), seat("e")));
    private static final long BASE = TABLE.firstNumber();
    private final List<Sent> sent = new ArrayList<>();
    private final ManualClock clock = new ManualClock(1_000_000);
    private final ConfigurationStore book = new ConfigurationStore(8);
    private final NodeInfo self = new NodeInfo("edge", "x", "x", false, "d1", "r1", 7, 0, false, 5, 1, false);
    private final FeedClient follower;

    FeedClientTest() {
        final Proposer proposer = new Proposer(
                "edge#7",
                "x",
                (to, note) -> sent.add(new Sent(to, note)),
                clock,
                new Random(1),
                new Proposer.Pace(400, 50, 64),
                (seat, key) -> {});
        proposer.adopt(TABLE);
        book.load(snapshot(BASE + 1));
        follower = new FeedClient(
                () -> self,
                book,
                new EndpointRegistry(7, 64, 4000, true),
                proposer,
                (to, note) -> sent.add(new Sent(to, note)),
                clock,
                new FeedClient.Pace(1000, 32, 3 * BEAT_MS, 64, false),
                List::of,
                table -> {},
                () -> {},
                () -> 0,
                address -> address.charAt(0));
    }

    private static Voter seat(final String name) {
        return new Voter(name, name, "disk-" + name);
    }

    private static ConfigurationSnapshot snapshot(final long version) {
        return new ConfigurationSnapshot(version, "{}".getBytes(StandardCharsets.UTF_8), List.of());
    }

    /** Beats and gives what was sent. */
    private List<Sent> beat() {
        sent.clear();
        follower.tick();
        return List.copyOf(sent);
    }

    private static List<String> askedForNews(final List<Sent> of) {
        return of.stream()
                .filter(s -> s.note instanceof FeedMessage.FeedAsk a && a.news())
                .map(Sent::to)
                .toList();
    }

    private static long askId(final List<Sent> of) {
        return ((FeedMessage.FeedAsk) of.stream()
                        .filter(s -> s.note instanceof FeedMessage.FeedAsk)
                        .findFirst()
                        .orElseThrow()
                        .note)
                .askId();
    }

    private void proof(final String core, final long askId, final long applied) {
        follower.hear(
                new FeedMessage.ProofBack(core, askId, 1, 1, Fingerprints.of("disk-" + core), true, false, applied, 0));
    }

    private void back(final String core, final long askId, final long applied, final ConfigurationSnapshot with) {
        follower.hear(new FeedMessage.FeedBack(
                core,
                "disk-" + core,
                askId,
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
        final long inTime = askId(sent);
        clock.advance(200);
        List.of("b", "c", "d").forEach(core -> proof(core, inTime, BASE + 1));
        assertThat(told).containsExactly(true);
        sent.clear();
        follower.current(500, told::add);
        final long late = askId(sent);
        clock.advance(20_000);
        List.of("b", "c", "d").forEach(core -> proof(core, late, BASE + 1));
        assertThat(told).containsExactly(true, false);
    }

    @Test
    void whenAllAreAheadOneIsAskedForNewsOnce() {
        final List<Sent> first = beat();
        assertThat(askedForNews(first)).containsExactly("a");
        sent.clear();
        clock.advance(20);
        for (final String core : List.of("b", "c", "d", "e")) {
            proof(core, askId(first), BASE + 2);
        }
        assertThat(askedForNews(sent))
                .as("the nearest was asked already, its reply is on its way")
                .isEmpty();
        back("a", askId(first), BASE + 2, snapshot(BASE + 2));
        assertThat(book.policy().version()).isEqualTo(BASE + 2);
        assertThat(askedForNews(sent)).isEmpty();
        assertThat(follower.ageMs()).as("proved by the ask of the beat").isEqualTo(20);
    }

    @Test
    void whenWhoWasAskedIsBehindItselfOneThatIsAheadIsAskedAtOnce() {
        final List<Sent> first = beat();
        sent.clear();
        clock.advance(20);
        for (final String core : List.of("e", "d", "c", "b")) {
            proof(core, askId(first), BASE + 2);
        }
        back("a", askId(first), BASE + 1, null);
        assertThat(askedForNews(sent)).containsExactly("b");
    }

    @Test
    void whenWhoWasAskedIsSilentABeatLaterAnotherIsAsked() {
        beat();
        clock.advance(BEAT_MS);
        final List<Sent> second = beat();
        sent.clear();
        clock.advance(20);
        for (final String core : List.of("b", "c", "d", "e")) {
            proof(core, askId(second), BASE + 2);
        }
        assertThat(askedForNews(sent)).containsExactly("b");
        back("b", 0, BASE + 2, snapshot(BASE + 2));
        assertThat(book.policy().version()).isEqualTo(BASE + 2);
    }

    @Test
    void aCoreThatSaysItIsAheadAndSendsNothingIsNotAskedWithoutEnd() {
        final List<Sent> first = beat();
        sent.clear();
        back("a", askId(first), BASE + 2, null);
        for (int i = 0; i < 10; i++) {
            back("a", 0, BASE + 2, null);
        }
        assertThat(askedForNews(sent)).hasSizeLessThanOrEqualTo(1);
    }
}
