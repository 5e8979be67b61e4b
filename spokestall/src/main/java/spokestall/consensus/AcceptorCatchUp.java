package spokestall.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spokestall.message.MessageSender;

/**
 * The catch-up of an acceptor that has a voter slot and lacks the state that goes with it: it fetches all registers of the other
 * voters, page by page, each voter's from its own offset (the key it has read up to).
 *
 * <p>Every value that was chosen before this acceptor may vote was accepted by some majority. The catch-up is complete when so
 * many voters have been read to the end that one of them is in every such majority ({@link VoterSet#intersectingQuorum}). Registers
 * that those voters had pruned are not in their pages; {@link #highestVersionFloor} says which these are.
 *
 * <p>Lost requests and responses are made up for by {@link #requestPages}, called on each tick. Not thread-safe; all calls on the
 * node's event loop. The state of the acceptor is {@link Acceptor}'s: this class makes no transitions.
 */
final class AcceptorCatchUp {
    /** A page ends with the register that exceeds this. */
    private static final int PAGE_BYTES = 256 << 10;
    /** What a register takes in a page beside its key and value, roughly. */
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

    /** Starts over: what was read so far was read from another voter set. */
    void restart() {
        offsets.clear();
        completedVoters.clear();
        highestVersionFloor = 0;
    }

    /** Returns whether enough voters have been read to the end. */
    boolean isComplete(final VoterSet voterSet) {
        return completedVoters.size() >= voterSet.intersectingQuorum();
    }

    /** Returns the highest version floor of the voters read from; 0 if none had pruned anything. */
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
     * Takes a page into the registers and requests the next one. A page that isn't the next one of its voter is ignored.
     *
     * @return whether this was the last page of its voter
     */
    boolean onResponse(final ConsensusMessage.CatchUpResponse response, final VoterSet voterSet, final String address) {
        if (completedVoters.contains(response.name())
                || !offset(response.name()).equals(response.after())) {
            return false;
        }
        highestVersionFloor = Math.max(highestVersionFloor, response.versionFloor());
        for (final ConsensusMessage.Entry entry : response.entries()) {
            storage.mergeRegister(entry.key(), entry.register());
            offsets.put(response.name(), entry.key());
        }
        if (!response.last()) {
            requestPage(voterSet, voterSet.voter(response.name()), address);
            return false;
        }
        completedVoters.add(response.name());
        return true;
    }

    /** Sends the page that a voter which is catching up requests. */
    void sendPage(final ConsensusMessage.CatchUpRequest request) {
        final List<ConsensusMessage.Entry> entries = new ArrayList<>();
        int pageBytes = 0;
        boolean lastPage = true;
        for (final Map.Entry<String, Register> e :
                storage.registers().tailMap(request.after(), false).entrySet()) {
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
                        request.after(),
                        entries,
                        lastPage,
                        storage.versionFloor()));
    }
}
