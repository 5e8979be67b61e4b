package spokestall.message;

import static org.assertj.core.api.Assertions.assertThat;

import java.security.CodeSource;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import spokestall.configuration.ConfigurationChange;
import spokestall.consensus.ConsensusMessage;
import spokestall.discovery.HealthStatus;
import spokestall.node.NumberedMessages;
import spokestall.proxy.IdempotencyClaim;

/**
 * Guards the bytes of every message in every supported version against a golden file. Numbers, field order and enum
 * ordinals are the format; Java names are not, so renaming types or fields must not require a change to the golden
 * file.
 */
@ExtendWith(RestoreMessageNumbersExtension.class)
class FormatStabilityTest {
    private static final HexFormat HEX = HexFormat.of();

    /** Returns the messages of production code only; other tests register types of their own in the same registry. */
    private static Map<Integer, Class<? extends Record>> productionMessages() {
        NumberedMessages.register();
        final CodeSource production = MessageCodec.class.getProtectionDomain().getCodeSource();
        final Map<Integer, Class<? extends Record>> messages = new TreeMap<>(MessageRegistry.copy());
        messages.values()
                .removeIf(type -> !production.equals(type.getProtectionDomain().getCodeSource()));
        return messages;
    }

    private static Map<String, String> encodedSamples() {
        final Map<String, String> lines = new TreeMap<>();
        productionMessages().forEach((number, type) -> {
            for (int version = MessageCodec.OLDEST_VERSION; version <= MessageCodec.CURRENT_VERSION; version++) {
                final String lineName = number + " v" + version;
                lines.put(
                        lineName + " full",
                        HEX.formatHex(MessageCodec.encode((Message) SampleRecords.full(type), version)));
                lines.put(
                        lineName + " empty",
                        HEX.formatHex(MessageCodec.encode((Message) SampleRecords.empty(type), version)));
            }
        });
        return lines;
    }

    @Test
    void goldenFileCoversEveryMessageInEveryVersion() throws Exception {
        assertThat(productionMessages()).isNotEmpty();
        assertThat(GoldenLines.read("messages.txt"))
                .containsOnlyKeys(encodedSamples().keySet());
    }

    @Test
    void messagesEncodeToGoldenBytes() throws Exception {
        assertThat(encodedSamples()).containsExactlyInAnyOrderEntriesOf(GoldenLines.read("messages.txt"));
    }

    @Test
    void goldenBytesRoundTrip() throws Exception {
        final Map<Integer, Class<? extends Record>> messages = productionMessages();
        for (final Map.Entry<String, String> line :
                GoldenLines.read("messages.txt").entrySet()) {
            final String[] nameParts = line.getKey().split(" ", -1);
            final Message message = MessageCodec.decode(HEX.parseHex(line.getValue()));
            final int version = Integer.parseInt(nameParts[1].substring(1));
            assertThat(message).as(line.getKey()).isInstanceOf(messages.get(Integer.valueOf(nameParts[0])));
            assertThat(HEX.formatHex(MessageCodec.encode(message, version)))
                    .as(line.getKey())
                    .isEqualTo(line.getValue());
        }
    }

    @Test
    void enumOrdinalsAreStable() {
        assertThat(ConsensusMessage.Reply.values())
                .containsExactly(
                        ConsensusMessage.Reply.OK,
                        ConsensusMessage.Reply.OUTRANKED,
                        ConsensusMessage.Reply.STALE_VOTER_SET,
                        ConsensusMessage.Reply.NOT_VOTING,
                        ConsensusMessage.Reply.PRUNED,
                        ConsensusMessage.Reply.REJECTED,
                        ConsensusMessage.Reply.WRITE_FAILED);
        assertThat(ConfigurationChange.Kind.values())
                .containsExactly(ConfigurationChange.Kind.PUT, ConfigurationChange.Kind.PATCH);
        assertThat(HealthStatus.values())
                .containsExactly(HealthStatus.READY, HealthStatus.LEAVING, HealthStatus.DOWN, HealthStatus.FOREIGN);
        assertThat(IdempotencyClaim.State.values())
                .containsExactly(
                        IdempotencyClaim.State.OPEN, IdempotencyClaim.State.RAN, IdempotencyClaim.State.NOT_RUN);
    }
}
