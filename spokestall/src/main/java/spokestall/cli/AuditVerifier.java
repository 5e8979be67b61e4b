package spokestall.cli;

import com.nimbusds.jose.jwk.ECKey;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.text.ParseException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import spokestall.audit.AuditChain;
import spokestall.io.AuditFiles;

/** Checks an audit: 0 it is whole, 1 it is not, 2 it could not be checked, 3 whole but for a last line cut off. */
public final class AuditVerifier {
    /** The flags. */
    static final class Flags {
        @Option(
                name = "--check",
                required = true,
                metaVar = "FILE",
                usage = "an audit file, or a folder of them in their order")
        private Path file;

        @Option(
                name = "--key",
                required = true,
                metaVar = "FILE",
                usage = "the core's public key, as public.jwk; keep a copy elsewhere")
        private Path key;

        @Option(name = "--help", help = true, usage = "this page")
        @SuppressWarnings("UnusedVariable") // args4j looks for the option, not at the field.
        private boolean help;
    }

    private AuditVerifier() {}

    public static int run(final String[] args) {
        final Flags flags = new Flags();
        final CmdLineParser parser = new CmdLineParser(flags);
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException e) {
            final boolean help = Arrays.asList(args).contains("--help");
            if (!help) {
                System.err.println(e.getMessage());
            }
            parser.printUsage(help ? System.out : System.err);
            return help ? 0 : 2;
        }
        try {
            final ECKey key = ECKey.parse(Files.readString(flags.key)).toPublicJWK();
            final StringBuilder text = new StringBuilder();
            for (final Path path : Files.isDirectory(flags.file) ? AuditFiles.files(flags.file) : List.of(flags.file)) {
                text.append(Files.readString(path, StandardCharsets.ISO_8859_1));
            }
            return verdict(AuditChain.check(
                    key, lines(text.toString()), text.length() == 0 || text.charAt(text.length() - 1) == '\n'));
        } catch (final IOException | ParseException e) {
            System.err.println("can't be checked: " + e.toString().split("\n")[0]);
            return 2;
        }
    }

    private static List<String> lines(final String text) {
        final List<String> all = new ArrayList<>(Arrays.asList(text.split("\n", -1)));
        if (all.get(all.size() - 1).isEmpty()) {
            all.remove(all.size() - 1);
        }
        return all;
    }

    private static int verdict(final AuditChain.Verdict verdict) {
        System.out.println(
                "audit=" + verdict.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT) + " " + verdict);
        return verdict instanceof AuditChain.Verdict.Good ? 0 : verdict instanceof AuditChain.Verdict.Torn ? 3 : 1;
    }
}
