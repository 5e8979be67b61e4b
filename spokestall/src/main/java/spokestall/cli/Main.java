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

/** Entry point of the program. The first argument is the command. */
public final class Main {
    private Main() {}

    /** Command-line flags of the commands {@code core} and {@code edge}. Scripts rely on their names. */
    static final class NodeFlags {
        @Option(name = "--settings", metaVar = "FILE", usage = "settings file, a JSON object")
        private Path file;

        @Option(name = "--set", metaVar = "KEY=VALUE", usage = "one setting, overrides the file; can be repeated")
        private List<String> sets = new ArrayList<>();

        @Option(name = "--check", usage = "check the settings and exit")
        private boolean check;

        @Option(name = "--help", help = true, usage = "print this help")
        private boolean help;
    }

    /** Runs one command and ends the process with the command's exit code. */
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
                System.err.println("unknown command: " + command);
                yield help(ExitCode.USAGE);
            }
        };
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }

    private static int help(final int code) {
        (code == ExitCode.OK ? System.out : System.err).print("""
                spokestall <command> [flags]; each command has --help
                  core      runs a node with a disk that votes, probes upstreams and reports usage
                  edge      runs a node that serves client requests
                  operator  sends one call to a node
                  demand    generates load
                  audit     checks a core's audit log
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

    /** Parses {@code KEY=VALUE} arguments; a later value of a key replaces an earlier one. */
    private static Map<String, String> settingsByKey(final List<String> sets) {
        final Map<String, String> byKey = new LinkedHashMap<>();
        for (final String set : sets) {
            final int at = set.indexOf('=');
            byKey.put(at < 0 ? set : set.substring(0, at), at < 0 ? "" : set.substring(at + 1));
        }
        return byKey;
    }
}
