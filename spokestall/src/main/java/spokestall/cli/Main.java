package spokestall.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import spokestall.io.LogLineFormatter;
import spokestall.io.ShutdownLogging;
import spokestall.io.process.HangupSignal;
import spokestall.io.process.NodeProcess;
import spokestall.io.protocol.ProtocolAdapter;
import spokestall.settings.FileSettings;
import spokestall.settings.Settings;
import spokestall.settings.SettingsResult;
import spokestall.settings.SettingsSource;

/** The program's entry: its first argument names the command. */
public final class Main {
    private Main() {}

    /** The flags of the two commands that run a node; their names and texts are an interface. */
    static final class NodeFlags {
        @Option(name = "--settings", metaVar = "FILE", usage = "settings file, a JSON object")
        private Path file;

        @Option(name = "--set", metaVar = "KEY=VALUE", usage = "one setting, wins over the file; may come often")
        private List<String> sets = new ArrayList<>();

        @Option(name = "--check", usage = "only check the settings")
        private boolean check;

        @Option(name = "--help", help = true, usage = "this page")
        private boolean help;
    }

    /**
     * Runs one command and ends the process with its exit code. Example: {@code java -jar spokestall.jar core --settings
     * d1-core.json}
     */
    public static void main(final String[] args) throws Exception {
        ShutdownLogging.install();
        HangupSignal.install();
        LogLineFormatter.install();
        final String command = args.length == 0 ? "--help" : args[0];
        final String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        final int code = switch (command) {
            case "core" -> runNode(true, rest);
            case "edge" -> runNode(false, rest);
            case "operator" -> OperatorCommand.run(rest);
            case "demand" -> LoadGenerator.run(rest);
            case "audit" -> AuditVerifier.run(rest);
            case "--help", "help" -> help(ExitCode.OK);
            default -> {
                System.err.println("no such subcommand: " + command);
                yield help(ExitCode.USAGE);
            }
        };
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }

    private static int help(final int code) {
        (code == ExitCode.OK ? System.out : System.err).print("""
                spokestall <subcommand> [flags]; each takes --help
                  core      a node with a disk: votes, probes upstreams, reports usage
                  edge      a node that answers callers
                  operator  one call to any node
                  demand    a load generator
                  audit     checks a core's audit files
                """);
        return code;
    }

    private static int runNode(final boolean core, final String[] args) throws Exception {
        final NodeFlags flags = new NodeFlags();
        final CmdLineParser parser = new CmdLineParser(flags);
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            return ExitCode.USAGE;
        }
        if (flags.help) {
            System.out.println("spokestall " + (core ? "core" : "edge") + " [flags]");
            parser.printUsage(System.out);
            System.out.print("settings:\n" + Settings.help());
            return ExitCode.OK;
        }
        final SettingsSource source = new FileSettings(flags.file, settingsByKey(flags.sets), core);
        final SettingsResult read = source.read();
        if (read instanceof SettingsResult.Invalid bad) {
            bad.errors().forEach(error -> System.err.println(error.key() + ": " + error.reason()));
            return ExitCode.USAGE;
        }
        final Settings settings = ((SettingsResult.Valid) read).settings();
        return flags.check
                ? ExitCode.OK
                : new NodeProcess(settings, source, core, ProtocolAdapter.nativeAdapter()).run();
    }

    /** A later value of a key replaces an earlier one. */
    private static Map<String, String> settingsByKey(final List<String> sets) {
        final Map<String, String> byKey = new LinkedHashMap<>();
        for (final String set : sets) {
            final int at = set.indexOf('=');
            byKey.put(at < 0 ? set : set.substring(0, at), at < 0 ? "" : set.substring(at + 1));
        }
        return byKey;
    }
}
