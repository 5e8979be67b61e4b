package spokestall.testbed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import spokestall.io.LogLineFormatter;
import spokestall.io.ShutdownLogging;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.fault.ProcessFault;
import spokestall.testbed.fault.RollingUpgrade;
import spokestall.testbed.fleet.Fleet;
import spokestall.testbed.fleet.FleetMember;
import spokestall.testbed.scale.ScaleCommand;
import spokestall.testbed.scale.ScaleFlags;
import spokestall.testbed.simulation.MessageTraffic;
import spokestall.testbed.simulation.Scenario;
import spokestall.testbed.simulation.ScenarioSweep;
import spokestall.testbed.simulation.SimulatedWorld;
import spokestall.testbed.simulation.SimulationRun;
import spokestall.testbed.soak.SoakFlags;
import spokestall.testbed.soak.SoakRun;
import spokestall.testbed.verdict.FleetJudge;
import spokestall.testbed.verdict.Rule;

/** The testbed's command line: fleets of processes on one machine, simulations, soak runs and measurements. */
public final class Main {
    /** Flags of the commands {@code fleet} and {@code faults}. */
    static final class FleetFlags {
        @Option(name = "--deployment", usage = "padma or verde")
        private String deployment = "padma";

        @Option(name = "--seconds", usage = "how long clients send requests")
        private int seconds = 20;

        @Option(
                name = "--distant",
                usage = "delay every link between nodes by half the deployment's round trip between regions")
        private boolean distant;

        @Option(name = "--fault", usage = "faults only: a fault, or all")
        private String fault = "all";

        @Option(name = "--repeat", usage = "faults only: number of runs of each fault")
        private int repeat = 1;

        @Option(name = "--keep", usage = "send no requests; keep the fleet running until Ctrl-C")
        private boolean keep;

        @Option(name = "--folder", usage = "folder for settings, data and logs")
        private Path folder = Path.of("target", "fleet");

        @Option(name = "--help", help = true, usage = "print this help")
        @SuppressWarnings("UnusedVariable") // args4j needs the option; no code reads the field.
        private boolean help;
    }

    /** Flags of the command {@code sim}. */
    static final class SimFlags {
        @Option(name = "--scenario", usage = "a scenario, or all")
        private String scenario = "all";

        @Option(name = "--deployment", usage = "padma, verde or both")
        private String deployment = "both";

        @Option(name = "--seeds", usage = "from-until")
        private String seeds = "1-3";

        @Option(name = "--threads", usage = "number of concurrent runs")
        private int threads = 6;

        @Option(name = "--plant", usage = "a fault to inject, to verify that the judge detects it")
        private InjectedFault injectedFault = InjectedFault.NONE;

        @Option(name = "--trace", usage = "print the trace of one run")
        private boolean trace;

        @Option(name = "--story", usage = "with --trace: print everything known about this request")
        private String story;

        @Option(name = "--help", help = true, usage = "print this help")
        @SuppressWarnings("UnusedVariable") // args4j needs the option; no code reads the field.
        private boolean help;
    }

    private Main() {}

    /** Runs the command named by the first argument with the remaining arguments as its flags, and exits with its exit code. */
    public static void main(final String[] args) throws Exception {
        ShutdownLogging.install();
        LogLineFormatter.install();
        final String command = args.length == 0 ? "" : args[0];
        final String[] commandArgs = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        final int code = switch (command) {
            case "fleet" -> fleet(commandArgs);
            case "faults" -> faults(commandArgs);
            case "upgrade" -> upgrade(commandArgs);
            case "soak" -> soak(commandArgs);
            case "sim" -> sim(commandArgs);
            case "growth" -> ConfigurationGrowth.run();
            case "history" -> history(commandArgs);
            case "traffic" -> traffic(commandArgs);
            case "scale" -> scale(commandArgs);
            default -> {
                System.err.println(
                        "testbed fleet|faults|upgrade|soak|sim|scale [--help], testbed growth, testbed history [CHANGES]..., testbed traffic [key=value]...");
                yield 2;
            }
        };
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }

    /** Parses flags; returns the exit code after help or an error, or null if the command is to run. */
    private static Integer parseFlags(final Object flags, final String[] args, final Runnable validate) {
        final CmdLineParser parser = new CmdLineParser(flags);
        try {
            parser.parseArgument(args);
            validate.run();
        } catch (final CmdLineException | IllegalArgumentException e) {
            if (!Arrays.asList(args).contains("--help")) {
                System.err.println(e.getMessage());
                parser.printUsage(System.err);
                return 2;
            }
        }
        if (!Arrays.asList(args).contains("--help")) {
            return null;
        }
        parser.printUsage(System.out);
        System.out.println("faults: " + List.of(ProcessFault.values()));
        System.out.println("scenarios: " + List.of(Scenario.values()) + "; all excludes LONG");
        return 0;
    }

    private static <E extends Enum<E>> E parseConstant(final Class<E> type, final String name) {
        try {
            return Enum.valueOf(type, name.toUpperCase(Locale.ROOT));
        } catch (final IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "no such " + type.getSimpleName().toLowerCase(Locale.ROOT) + ": " + name, e);
        }
    }

    private static int fleet(final String[] args) throws Exception {
        final FleetFlags flags = new FleetFlags();
        final Integer done = parseFlags(flags, args, () -> parseConstant(Deployment.class, flags.deployment));
        if (done != null) {
            return done;
        }
        final Deployment deployment = parseConstant(Deployment.class, flags.deployment);
        try (Fleet fleet = new Fleet(
                deployment,
                flags.folder.resolve(flags.deployment + "-" + System.currentTimeMillis()),
                Deployment.ZONES,
                flags.distant ? deployment.interRegionRttMs / 2 : 0)) {
            fleet.start();
            final long version = fleet.putConfiguration();
            fleet.awaitReady(version);
            System.out.println("fleet=up folder=" + fleet.folder() + " nodes="
                    + fleet.members().size() + " version=" + version);
            if (flags.keep) {
                fleet.members()
                        .forEach((name, m) ->
                                System.out.println("  " + name + " http=" + m.http + " operators=" + m.operators));
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
                new java.util.concurrent.CountDownLatch(1).await();
            }
            final int exitCode = fleet.startLoadGenerator(flags.seconds, 0.99).waitFor();
            System.out.println("upstreams_began=" + fleet.ledger().began().size() + " reports="
                    + fleet.ledger().reported().size());
            final boolean clean = fleet.stopAll();
            System.out.println("stopped=" + (clean ? "clean" : "unclean"));
            return exitCode == 0 && clean ? 0 : 1;
        }
    }

    /** Injects each fault into a fleet of its own while clients send requests. */
    private static int faults(final String[] args) throws Exception {
        final FleetFlags flags = new FleetFlags();
        final List<ProcessFault> faults = new ArrayList<>();
        final Integer done = parseFlags(flags, args, () -> {
            parseConstant(Deployment.class, flags.deployment);
            faults.addAll(
                    flags.fault.equals("all")
                            ? List.of(ProcessFault.values())
                            : List.of(parseConstant(ProcessFault.class, flags.fault)));
        });
        if (done != null) {
            return done;
        }
        final Deployment deployment = parseConstant(Deployment.class, flags.deployment);
        int bad = 0;
        final Map<Rule, Long> checks = new EnumMap<>(Rule.class);
        final Map<Rule, Long> violations = new EnumMap<>(Rule.class);
        final Map<Rule, Double> worst = new EnumMap<>(Rule.class);
        for (int i = 0; i < flags.repeat * faults.size(); i++) {
            final ProcessFault fault = faults.get(i % faults.size());
            bad += runFault(flags, deployment, fault, checks, violations, worst) ? 0 : 1;
        }
        for (final Rule rule : Rule.values()) {
            final long n = checks.getOrDefault(rule, 0L);
            final long broken = violations.getOrDefault(rule, 0L);
            System.out.printf(
                    "rule=%s verdict=%s checks=%d violations=%d worst=%.2f%n",
                    rule,
                    n == 0 ? "unproven" : broken > 0 ? "broken" : "kept",
                    n,
                    broken,
                    worst.getOrDefault(rule, 0.0));
        }
        return bad == 0 ? 0 : 1;
    }

    /** Runs overlapping series of signals, restarts and changes, chosen by seed. */
    private static int soak(final String[] args) throws Exception {
        final SoakFlags flags = new SoakFlags();
        final Integer ended = parseFlags(flags, args, flags::nodeSettings);
        return ended != null ? ended : SoakRun.run(flags);
    }

    /** Upgrades a fleet from an older build to this one, node by node. */
    private static int upgrade(final String[] args) throws Exception {
        final RollingUpgrade.Flags flags = new RollingUpgrade.Flags();
        final Integer done = parseFlags(flags, args, () -> {});
        return done != null ? done : RollingUpgrade.run(flags);
    }

    /** Injects one fault into a fleet of its own; returns whether the run met all requirements. */
    private static boolean runFault(
            final FleetFlags flags,
            final Deployment deployment,
            final ProcessFault fault,
            final Map<Rule, Long> checks,
            final Map<Rule, Long> violations,
            final Map<Rule, Double> worst)
            throws Exception {
        try (Fleet fleet = new Fleet(
                deployment,
                flags.folder.resolve("fault-" + fault + "-" + System.currentTimeMillis()),
                Deployment.ZONES,
                flags.distant ? deployment.interRegionRttMs / 2 : 0)) {
            fleet.faultHooksEnabled();
            fault.prepare(fleet);
            fleet.start();
            fleet.awaitReady(fleet.putConfiguration());
            final FleetJudge judge = new FleetJudge(fleet);
            final Process loadGenerator = fleet.startLoadGenerator(flags.seconds, fault.minServedRatio());
            Fleet.waitUntil(
                    "requests arrive", 10_000, () -> fleet.ledger().began().size() > 200);
            fault.inject(fleet, judge);
            final int exitCode = loadGenerator.waitFor();
            for (final FleetMember m : fleet.members().values()) {
                fleet.awaitFresh(m);
            }
            judge.judgeRun();
            final boolean clean = fleet.stopAll();
            final List<String> broken = new ArrayList<>();
            judge.judge().tallies().forEach((rule, t) -> {
                checks.merge(rule, t.checks, Long::sum);
                violations.merge(rule, t.violations, Long::sum);
                worst.merge(rule, t.worstShare, Math::max);
                if (t.violations > 0) {
                    broken.add(rule + " x" + t.violations + " " + t.firstViolation);
                }
            });
            System.out.println("fault=" + fault + " deployment=" + deployment + " demand="
                    + (exitCode == 0 ? "good" : "bad") + " least=" + fault.minServedRatio() + " broken=" + broken
                    + " stopped="
                    + (clean ? "clean" : "unclean"));
            return exitCode == 0 && broken.isEmpty() && clean;
        } catch (final IllegalStateException e) {
            System.out.println("fault=" + fault + " deployment=" + deployment + " trouble=\"" + e.getMessage() + "\"");
            return false;
        }
    }

    /** Runs the history of changes with seed 1; the arguments are the numbers of changes at which to measure. */
    private static int history(final String[] args) {
        Logger.getLogger("").setLevel(Level.OFF);
        final List<Integer> marks = Arrays.stream(args).map(Integer::parseInt).toList();
        return ChangeHistory.run(1, marks.isEmpty() ? List.of(10, 100, 1000) : marks);
    }

    /** Measures message traffic with seed 1; the arguments are settings as key=value. */
    private static int traffic(final String[] args) {
        Logger.getLogger("").setLevel(Level.OFF);
        final Map<String, String> settings = new java.util.TreeMap<>();
        for (final String arg : args) {
            settings.put(arg.substring(0, arg.indexOf('=')), arg.substring(arg.indexOf('=') + 1));
        }
        MessageTraffic.print(1, Deployment.PADMA, settings);
        return 0;
    }

    public static int scale(final String[] args) throws Exception {
        final ScaleFlags flags = new ScaleFlags();
        final Integer done = parseFlags(flags, args, flags::check);
        if (done != null) {
            return done;
        }
        Logger.getLogger("").setLevel(Level.OFF);
        return ScaleCommand.run(flags);
    }

    private static int sim(final String[] args) throws Exception {
        final SimFlags flags = new SimFlags();
        final List<Scenario> scenarios = new ArrayList<>();
        final List<Deployment> deployments = new ArrayList<>();
        final long[] seeds = new long[2];
        final Integer done = parseFlags(flags, args, () -> {
            scenarios.addAll(
                    flags.scenario.equals("all")
                            ? Scenario.sweep()
                            : List.of(parseConstant(Scenario.class, flags.scenario)));
            deployments.addAll(
                    flags.deployment.equals("both")
                            ? List.of(Deployment.values())
                            : List.of(parseConstant(Deployment.class, flags.deployment)));
            if (!flags.seeds.matches("\\d{1,15}-\\d{1,15}")) {
                throw new IllegalArgumentException("--seeds: needs from-until, not " + flags.seeds);
            }
            seeds[0] = Long.parseLong(flags.seeds.split("-")[0]);
            seeds[1] = Long.parseLong(flags.seeds.split("-")[1]);
        });
        if (done != null) {
            return done;
        }
        final long from = seeds[0];
        final long until = seeds[1];
        if (flags.trace) {
            final SimulationRun run =
                    new SimulationRun(from, deployments.get(0), scenarios.get(0), true, flags.injectedFault);
            run.play();
            System.out.print(run.world.sim.traceText());
            System.out.println(run.results());
            if (flags.story != null) {
                System.out.println(run.requestHistory(flags.story));
            }
            for (long w = SimulatedWorld.EPOCH_MS / SimulatedWorld.WINDOW_MS;
                    w < SimulatedWorld.EPOCH_MS / SimulatedWorld.WINDOW_MS + 15;
                    w++) {
                System.out.println("window " + w + " " + run.byEdge(w));
            }
            return 0;
        }
        Logger.getLogger("").setLevel(Level.OFF);
        return ScenarioSweep.run(scenarios, deployments, from, until, flags.threads, flags.injectedFault) == 0 ? 0 : 1;
    }
}
