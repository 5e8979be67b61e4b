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

/** Alters notes on their way, for the planted faults that need it. */
final class MessageForger {
    private static final long HOUR_MS = 3_600_000;

    private MessageForger() {}

    /** The note as it arrives under a plant. */
    static Message altered(final InjectedFault plant, final Message note) {
        if (plant != InjectedFault.LEAPING_CHANGES) {
            return note;
        }
        if (note instanceof ConsensusMessage.Accept a && ConfigurationKeys.of(a.key()) >= 0) {
            return new ConsensusMessage.Accept(
                    a.goId(),
                    a.from(),
                    a.generation(),
                    a.epoch(),
                    a.key(),
                    a.ballot(),
                    leapt(ConfigurationKeys.of(a.key()), a.value()));
        }
        if (note instanceof FeedMessage.FeedNews n && n.change() != null) {
            return new FeedMessage.FeedNews(n.version(), leapt(n.version(), n.change()));
        }
        return note;
    }

    private static byte[] leapt(final long version, final byte[] value) {
        final ConfigurationChange c = MessageCodec.record(value, ConfigurationChange.class);
        final long changes = version & (1L << VoterSet.GENERATION_SHIFT) - 1;
        return MessageCodec.bytes(new ConfigurationChange(
                c.changeId(), c.kind(), c.json(), SimulatedWorld.EPOCH_MS + changes * HOUR_MS, c.before()));
    }

    /** The proof that an asker hears in place of one that can't reach it, or null where the note asks for none. */
    static Message proof(final Message note, final SimulatedNode asker, final SimulatedNode core) {
        final long askId = note instanceof FeedMessage.ProofAsk p
                ? p.askId()
                : note instanceof FeedMessage.FeedAsk f ? f.askId() : 0;
        if (askId == 0 || !core.up() || core.node().voter() == null) {
            return null;
        }
        final VoterSet table = core.node().voter().voters();
        return new FeedMessage.ProofBack(
                core.name,
                askId,
                table.generation(),
                table.epoch(),
                Fingerprints.of(core.node().voter().diskId()),
                true,
                false,
                asker.node().book().policy().version(),
                0);
    }
}
