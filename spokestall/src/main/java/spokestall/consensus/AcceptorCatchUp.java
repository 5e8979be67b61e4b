package spokestall.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spokestall.message.MessageSender;

/**
 * Catch-up of an acceptor that has a voter slot but not the registers a voter needs: fetches all registers of the other voters
 * page by page. The catch-up tracks a separate offset for each voter: the last key read from it.
 *
 * <p>Every value chosen before this acceptor votes was accepted by some majority. The catch-up is complete when the voters read to
 * the end include a member of every possible majority ({@link VoterSet#intersectingQuorum}). Their pages don't contain registers
 * that they have pruned; {@link #highestVersionFloor} is the version up to which that may be the case.
 *
 * <p>{@link #requestPages}, called on each tick, repeats requests whose request or response was lost. {@link Acceptor} owns the
 * acceptor's state; this class makes no transitions. Not thread-safe; all calls on the node's event loop.
 */
final class AcceptorCatchUp {
    /** Page size limit; a page ends with the register that exceeds it. */
    private static final int PAGE_BYTES = 256 << 10;
    /** Approximate size of a register in a page, not counting its key and value. */
    private static final int ENTRY_OVERHEAD_BYTES = 64;

    private final String name;
    private final AcceptorStorage storage;
    private final MessageSender sender;
    private final Map<String, String> offsets = new HashMap<>();
    private final Set<String> completedVoters = new HashSet<>();
    private long highestVersionFloor;

    AcceptorCatchUp(final String name, final AcceptorStorage storage, final MessageSender sender) {
        this.name = name;
        this.storage = storage;
        this.sender = sender;
    }

    /** Discards all progress, since the pages read so far belong to an older voter set. */
    void restart() {
        offsets.clear();
        completedVoters.clear();
        highestVersionFloor = 0;
    }

    /** Returns whether enough voters have been read to the end. */
    boolean isComplete(final VoterSet voterSet) {
        return completedVoters.size() >= voterSet.intersectingQuorum();
    }

    /** Returns the highest version floor in the responses received so far; 0 if no voter has pruned anything. */
    long highestVersionFloor() {
        return highestVersionFloor;
    }

    /** Requests the next page of each voter that hasn't been read to the end. */
    void requestPages(final VoterSet voterSet, final String address) {
        for (final Voter voter : voterSet.voters()) {
            if (!voter.name().equals(name) && !completedVoters.contains(voter.name())) {
                requestPage(voterSet, voter, address);
            }
        }
    }

    private void requestPage(final VoterSet voterSet, final Voter voter, final String address) {
        sender.send(
                voter.address(),
                new ConsensusMessage.CatchUpRequest(
                        address, name, voterSet.generation(), voterSet.epoch(), offset(voter.name())));
    }

    private String offset(final String voterName) {
        return offsets.getOrDefault(voterName, "");
    }

    /**
     * Merges a page into the registers and requests the voter's next page. Ignores a page that doesn't start at the voter's offset.
     *
     * @return whether this was the last page of its voter
     */
    boolean onResponse(final ConsensusMessage.CatchUpResponse response, final VoterSet voterSet, final String address) {
        if (completedVoters.contains(response.name())
                || !offset(response.name()).equals(response.afterKey())) {
            return false;
        }
        highestVersionFloor = Math.max(highestVersionFloor, response.versionFloor());
        for (final ConsensusMessage.Entry entry : response.entries()) {
            storage.mergeRegister(entry.key(), entry.register());
            offsets.put(response.name(), entry.key());
        }
        if (!response.lastPage()) {
            requestPage(voterSet, voterSet.voter(response.name()), address);
            return false;
        }
        completedVoters.add(response.name());
        return true;
    }

    /** Sends a page of this voter's registers to a voter that is catching up. */
    void sendPage(final ConsensusMessage.CatchUpRequest request) {
        final List<ConsensusMessage.Entry> entries = new ArrayList<>();
        int pageBytes = 0;
        boolean lastPage = true;
        for (final Map.Entry<String, Register> e :
                storage.registers().tailMap(request.afterKey(), false).entrySet()) {
            if (pageBytes > PAGE_BYTES) {
                lastPage = false;
                break;
            }
            final byte[] value = e.getValue().value();
            entries.add(new ConsensusMessage.Entry(e.getKey(), e.getValue()));
            pageBytes += e.getKey().length() + ENTRY_OVERHEAD_BYTES + (value == null ? 0 : value.length);
        }
        sender.send(
                request.from(),
                new ConsensusMessage.CatchUpResponse(
                        name,
                        request.generation(),
                        request.epoch(),
                        request.afterKey(),
                        entries,
                        lastPage,
                        storage.versionFloor()));
    }
}
