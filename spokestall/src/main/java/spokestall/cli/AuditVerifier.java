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
import java.util.Locale;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import spokestall.audit.AuditChain;
import spokestall.io.AuditFiles;

/**
 * The command {@code audit}: checks that a core's audit log is complete and unaltered.
 *
 * <p>Exit codes: 0 if the log is complete and unaltered; 1 if an entry is missing or altered; 2 if the log or the key can't be
 * read; 3 if only the last line is incomplete.
 */
public final class AuditVerifier {
    /** Command-line flags. Scripts rely on their names. */
    static final class Flags {
        @Option(name = "--check", required = true, metaVar = "FILE", usage = "audit file, or directory of audit files")
        private Path file;

        @Option(
                name = "--key",
                required = true,
                metaVar = "FILE",
                usage = "public key of the core (its public.jwk); keep a copy on another machine")
        private Path key;

        @Option(name = "--help", help = true, usage = "print this help")
        @SuppressWarnings("UnusedVariable") // args4j reads only the annotation.
        private boolean help;
    }

    private static final int LAST_LINE_TORN = 3;

    private AuditVerifier() {}

    /** Runs the command and returns its exit code. */
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
            return help ? ExitCode.OK : ExitCode.USAGE;
        }
        try {
            final ECKey key = ECKey.parse(Files.readString(flags.key)).toPublicJWK();
            final StringBuilder text = new StringBuilder();
            for (final Path path : Files.isDirectory(flags.file) ? AuditFiles.files(flags.file) : List.of(flags.file)) {
                text.append(Files.readString(path, StandardCharsets.ISO_8859_1));
            }
            final boolean endsWithLine = text.length() == 0 || text.charAt(text.length() - 1) == '\n';
            return print(AuditChain.check(key, lines(text.toString()), endsWithLine));
        } catch (final IOException | ParseException e) {
            System.err.println("can't check the audit log: " + e.toString().split("\n")[0]);
            return ExitCode.USAGE;
        }
    }

    private static List<String> lines(final String text) {
        final List<String> all = new ArrayList<>(Arrays.asList(text.split("\n", -1)));
        if (all.get(all.size() - 1).isEmpty()) {
            all.remove(all.size() - 1);
        }
        return all;
    }

    /** Prints the verdict with the names of its record and components, which scripts rely on, and returns the exit code. */
    private static int print(final AuditChain.Verdict verdict) {
        System.out.println("audit=" + verdict.getClass().getSimpleName().toLowerCase(Locale.ROOT) + " " + verdict);
        if (verdict instanceof AuditChain.Verdict.Good) {
            return ExitCode.OK;
        }
        return verdict instanceof AuditChain.Verdict.Torn ? LAST_LINE_TORN : ExitCode.FAILED;
    }
}
