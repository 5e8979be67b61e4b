package spokestall.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spokestall.api.CallRegistry;

class OperatorArgumentsTest {
    private static final String TO = "127.0.0.1:7200";
    private static final JsonNode METHOD =
            new CallRegistry().schema().path("methods").path("policy.patch");

    private static OperatorArguments parse(final String... args) {
        final String[] all = new String[args.length + 1];
        all[0] = "policy.patch";
        System.arraycopy(args, 0, all, 1, args.length);
        return OperatorArguments.parse(METHOD, all);
    }

    @Test
    void paramsAreParsedByTheirSchemaTypes() {
        final OperatorArguments.Call call = (OperatorArguments.Call)
                parse("--to", TO, "--base", "7", "--changeId", "12", "--patch", "{\"holds\":{}}", "--waitMs", "250");
        assertThat(call.address()).isEqualTo(TO);
        assertThat(call.waitMs()).isEqualTo(250);
        assertThat(call.params()).hasToString("{\"base\":7,\"changeId\":\"12\",\"patch\":{\"holds\":{}}}");
    }

    @Test
    void waitDefaultsToTenSeconds() {
        assertThat(((OperatorArguments.Call) parse("--to", TO)).waitMs()).isEqualTo(10_000);
    }

    @Test
    void aValueStartingWithAtIsReadFromTheNamedFile(@TempDir final Path folder) throws IOException {
        final Path file = Files.writeString(folder.resolve("patch.json"), "{\"cells\":{}}");
        final OperatorArguments.Call call =
                (OperatorArguments.Call) parse("--to", TO, "--patch", "@" + file, "--changeId", "c-1");
        assertThat(call.params()).hasToString("{\"patch\":{\"cells\":{}},\"changeId\":\"c-1\"}");
    }

    @Test
    void helpTakesPrecedenceOverLaterArguments() {
        assertThat(parse("--to", TO, "--help", "--no-such-flag")).isEqualTo(new OperatorArguments.Help());
    }

    @Test
    void theFirstInvalidArgumentIsReported() {
        assertThat(parse("to", TO)).isEqualTo(new OperatorArguments.Invalid("expected a flag with a value, not: to"));
        assertThat(parse("--to")).isEqualTo(new OperatorArguments.Invalid("expected a flag with a value, not: --to"));
        assertThat(parse("--pach", "{}"))
                .isEqualTo(new OperatorArguments.Invalid("--pach: unknown flag for this method"));
        assertThat(parse("--waitMs", "0", "--pach", "{}"))
                .isEqualTo(new OperatorArguments.Invalid(
                        "--waitMs: must be a number of milliseconds from 1 to 9999999, not: 0"));
        assertThat(parse("--to", "localhost:7200"))
                .isEqualTo(new OperatorArguments.Invalid("--to: must be the IP address and port of a node"));
        assertThat(parse()).isEqualTo(new OperatorArguments.Invalid("--to: must be the IP address and port of a node"));
    }

    @Test
    void aValueThatIsNotJsonIsReportedWithItsFlag() {
        assertThat(((OperatorArguments.Invalid) parse("--to", TO, "--patch", "{")).reason())
                .startsWith("--patch: ");
    }
}
