package spokestall.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import spokestall.message.MessageSender;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * Bounded partial view of the fleet's members. The node exchanges samples of its view with one peer at a time (a shuffle) and
 * removes a member that nobody has seen for {@link ViewParameters#memberTimeoutMs()}. It contacts the seeds periodically, so that
 * the parts of a partitioned fleet find each other again.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Deterministic: views with the same random seed and the same calls send
 * the same messages.
 */
public final class PartialView {
    /** Number of ticks between contacts to a seed while enough members are known. */
    private static final int TICKS_PER_SEED_CONTACT = 16;
    /** Before any clock time, and small enough in magnitude that subtracting it doesn't overflow. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final NodeInfo self;
    private List<String> seeds;
    private final MessageSender sender;
    private final Clock clock;
    private final FleetClock fleetClock;
    private final Random random;
    private final ViewParameters parameters;
    /** Sorted, because the order of members determines which ones the random choices select. */
    private final Map<String, NodeInfo> membersByName = new TreeMap<>();
    // Entries of a member that was evicted because the view was full stay until members() next removes a timed-out
    // member.
    private final Map<String, Long> lastSeenMs = new HashMap<>();
    private final Map<String, Long> joinedMs = new HashMap<>();
    private final Map<String, Long> contactedMs = new HashMap<>();
    private boolean leaving;
    private int tick;
    private long changedMs;
    private long version;
    /** No member times out before this time, so {@link #members()} needs no scan until then. */
    private long nextTimeoutMs;

    /**
     * Creates a view without members.
     *
     * @param self this node's entry
     * @param seeds the addresses to contact periodically, and on each shuffle while few members are known; not empty
     * @param sender sends shuffles
     * @param clock the monotonic clock for time-outs
     * @param fleetClock receives the clock readings of peers
     * @param random the source of random choices of samples and peers
     * @param parameters sizes and time-outs
     */
    public PartialView(
            final NodeInfo self,
            final List<String> seeds,
            final MessageSender sender,
            final Clock clock,
            final FleetClock fleetClock,
            final Random random,
            final ViewParameters parameters) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.sender = sender;
        this.clock = clock;
        this.fleetClock = fleetClock;
        this.random = random;
        this.parameters = parameters;
        this.changedMs = clock.nowMs();
    }

    /** Returns this node's own entry, with the current time as its last-seen time. */
    public NodeInfo self() {
        return self.seenAt(fleetClock.nowMs(), leaving);
    }

    /** Replaces the seeds; at least one is required. */
    public void updateSeeds(final List<String> newSeeds) {
        seeds = List.copyOf(newSeeds);
    }

    /** Marks this node as leaving in all messages sent from now on. */
    public void markLeaving() {
        leaving = true;
    }

    /**
     * Returns the members that haven't timed out, sorted by name, without this node. The collection is a live view; the caller
     * must copy it before the next call that may change it.
     */
    public Collection<NodeInfo> members() {
        final long nowMs = clock.nowMs();
        if (nowMs > nextTimeoutMs) {
            dropTimedOut(nowMs);
        }
        return membersByName.values();
    }

    private void dropTimedOut(final long nowMs) {
        if (membersByName.values().removeIf(member -> nowMs > timeoutMillis(member.name()))) {
            changedMs = nowMs;
            lastSeenMs.keySet().retainAll(membersByName.keySet());
            joinedMs.keySet().retainAll(membersByName.keySet());
            contactedMs.keySet().retainAll(membersByName.keySet());
        }
        nextTimeoutMs = nowMs + parameters.memberTimeoutMs();
        membersByName.keySet().forEach(name -> nextTimeoutMs = Math.min(nextTimeoutMs, timeoutMillis(name)));
    }

    /** Returns a version that increases when a member is added, or starts or stops serving clients. */
    public long version() {
        return version;
    }

    private long timeoutMillis(final String name) {
        return lastSeenMs.getOrDefault(name, 0L) + parameters.memberTimeoutMs();
    }

    /** Sends a sample to the member with the oldest contact in either direction, and periodically to a seed. */
    public void onTick() {
        final List<NodeInfo> candidates = new ArrayList<>(members());
        final int turn = tick++;
        if (!eager() && turn % 2 != 0) {
            return;
        }
        if (!candidates.isEmpty()) {
            // The shuffle before the stable sort makes the choice among equal members random.
            Collections.shuffle(candidates, random);
            candidates.sort(Comparator.comparingLong(this::lastContactMs));
            contactedMs.put(candidates.get(0).name(), clock.nowMs());
            sendSample(candidates.get(0).address(), false, 0);
        }
        final boolean few = candidates.size() < parameters.sampleSize();
        if (few || turn % TICKS_PER_SEED_CONTACT == 0) {
            sendSample(seeds.get(turn / (few ? 1 : TICKS_PER_SEED_CONTACT) % seeds.size()), false, 0);
        }
    }

    private long lastContactMs(final NodeInfo member) {
        return Math.max(lastSeenMs.get(member.name()), contactedMs.getOrDefault(member.name(), Long.MIN_VALUE));
    }

    private boolean eager() {
        return clock.nowMs() - changedMs < parameters.eagerMs();
    }

    /** Sends a sample to all seeds and the given addresses at once, so that other nodes soon know a node that has just started. */
    public void announce(final List<String> addresses) {
        final Set<String> all = new TreeSet<>(seeds);
        all.addAll(addresses);
        all.forEach(to -> sendSample(to, false, 0));
    }

    private void sendSample(final String to, final boolean reply, final long echoMs) {
        if (to.equals(self.address())) {
            return;
        }
        sender.send(
                to,
                new GossipMessage.Shuffle(
                        self.address(),
                        self(),
                        clock.nowMs(),
                        reply,
                        echoMs,
                        fleetClock.nowMs(),
                        fleetClock.settled(),
                        sampleFor(to)));
    }

    /** Returns random members without the receiver; members that joined recently come first. */
    private List<NodeInfo> sampleFor(final String to) {
        final long nowMs = clock.nowMs();
        final List<NodeInfo> sample = new ArrayList<>(membersByName.values());
        Collections.shuffle(sample, random);
        sample.removeIf(member -> member.address().equals(to));
        sample.sort(Comparator.comparing(
                member -> nowMs - joinedMs.getOrDefault(member.name(), NEVER_MS) >= parameters.eagerMs()));
        final int size = eager() ? parameters.sampleSize() : parameters.sampleSize() / 2;
        return List.copyOf(sample.subList(0, Math.min(sample.size(), size)));
    }

    /** Merges a peer's sample into the view, and replies with an own sample unless the message is itself a reply. */
    public void onMessage(final GossipMessage message) {
        final GossipMessage.Shuffle shuffle = (GossipMessage.Shuffle) message;
        merge(shuffle.self(), 0);
        if (shuffle.reply()) {
            fleetClock.onPeerReading(shuffle.self().name(), shuffle.fleetMs(), shuffle.settled(), shuffle.echoMs());
        } else {
            sendSample(shuffle.from(), true, shuffle.sentMs());
        }
        for (final NodeInfo member : shuffle.sample()) {
            merge(member, Math.max(0, shuffle.fleetMs() - member.lastSeenMs()));
        }
    }

    /** Merges an entry if it is newer than the known one; {@code ageMs} is the time since any node last saw the member. */
    private void merge(final NodeInfo entry, final long ageMs) {
        if (entry.name().equals(self.name()) || ageMs > parameters.memberTimeoutMs()) {
            return;
        }
        final NodeInfo known = membersByName.get(entry.name());
        final boolean joined = known == null || entry.incarnation() > known.incarnation();
        if (!joined && !(entry.incarnation() == known.incarnation() && entry.lastSeenMs() > known.lastSeenMs())) {
            return;
        }
        if (joined) {
            joinedMs.put(entry.name(), clock.nowMs());
            changedMs = clock.nowMs();
        }
        if (known == null || known.servesClients() != entry.servesClients()) {
            version++;
        }
        membersByName.put(entry.name(), entry);
        lastSeenMs.put(entry.name(), clock.nowMs() - ageMs);
        nextTimeoutMs = Math.min(nextTimeoutMs, timeoutMillis(entry.name()));
        if (membersByName.size() > parameters.viewSize()) {
            evictOldest();
        }
    }

    private void evictOldest() {
        membersByName.values().stream()
                .min(Comparator.comparingLong(member -> lastSeenMs.get(member.name())))
                .ifPresent(oldest -> membersByName.remove(oldest.name()));
    }
}
