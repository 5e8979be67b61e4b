package spokestall.testbed.simulation;

import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.configuration.feed.FeedMessage;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.VoterSet;
import spokestall.message.Fingerprints;
import spokestall.message.Message;
import spokestall.message.MessageCodec;
import spokestall.testbed.fault.InjectedFault;

/** Alters messages in transit, for the injected faults that need it. */
final class MessageForger {
    private static final long HOUR_MS = 3_600_000;

    private MessageForger() {}

    /**
     * Returns the message that arrives under an injected fault. With LEAPING_CHANGES, the acceptance times of configuration changes
     * advance by an hour with each change.
     */
    static Message alter(final InjectedFault injectedFault, final Message message) {
        if (injectedFault != InjectedFault.LEAPING_CHANGES) {
            return message;
        }
        if (message instanceof ConsensusMessage.Accept a && ConfigurationKeys.versionOf(a.key()) >= 0) {
            return new ConsensusMessage.Accept(
                    a.attemptId(),
                    a.from(),
                    a.generation(),
                    a.epoch(),
                    a.key(),
                    a.proposalNumber(),
                    withLeapedTime(ConfigurationKeys.versionOf(a.key()), a.value()));
        }
        if (message instanceof FeedMessage.FeedUpdate n && n.encodedChange() != null) {
            return new FeedMessage.FeedUpdate(n.version(), withLeapedTime(n.version(), n.encodedChange()));
        }
        return message;
    }

    private static byte[] withLeapedTime(final long version, final byte[] value) {
        final ConfigurationChange c = MessageCodec.decodeRecord(value, ConfigurationChange.class);
        final long changes = version & (1L << VoterSet.GENERATION_SHIFT) - 1;
        return MessageCodec.encodeRecord(new ConfigurationChange(
                c.changeId(), c.kind(), c.json(), SimulatedWorld.EPOCH_MS + changes * HOUR_MS, c.earlierChanges()));
    }

    /**
     * Returns the freshness response that a node receives in place of the core's own, which can't reach it, or null if the message
     * requests none or the core has no state to answer from.
     */
    static Message forgeFreshnessResponse(
            final Message message, final SimulatedNode requester, final SimulatedNode core) {
        final long requestId = message instanceof FeedMessage.FreshnessRequest p
                ? p.requestId()
                : message instanceof FeedMessage.FeedRequest f ? f.requestId() : 0;
        if (requestId == 0 || !core.isUp() || core.node().acceptor() == null) {
            return null;
        }
        final VoterSet voterSet = core.node().acceptor().voterSet();
        return new FeedMessage.FreshnessResponse(
                core.name,
                requestId,
                voterSet.generation(),
                voterSet.epoch(),
                Fingerprints.of(core.node().acceptor().diskId()),
                true,
                false,
                requester.node().configurationStore().configuration().version(),
                0);
    }
}
