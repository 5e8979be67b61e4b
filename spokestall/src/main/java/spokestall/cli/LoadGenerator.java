package spokestall.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** The command {@code demand}: sends requests at a constant rate and prints a verdict at the end. */
final class LoadGenerator {
    private static final int IO_THREADS = 4;
    private static final int TIMER_THREADS = 2;
    /** Time to wait for the last requests, which may be retried, as a multiple of the request deadline. */
    private static final int DRAIN_DEADLINES = 4;

    private static final int MILLIS_PER_SECOND = 1000;

    private final LoadOptions options;
    private final RequestPlan plan;

    private LoadGenerator(final LoadOptions options) throws IOException {
        this.options = options;
        this.plan = RequestPlan.read(options.plan());
    }

    /** Runs the command and returns its exit code. */
    static int run(final String[] args) throws InterruptedException {
        final LoadOptions options = new LoadOptions();
        final CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException e) {
            if (Arrays.asList(args).contains("--help")) {
                parser.printUsage(System.out);
                return ExitCode.OK;
            }
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            return ExitCode.USAGE;
        }
        if (options.help()) {
            parser.printUsage(System.out);
            return ExitCode.OK;
        }
        try {
            return new LoadGenerator(options).generate() ? ExitCode.OK : ExitCode.FAILED;
        } catch (final IOException e) {
            System.err.println("--plan or --record: " + e.getMessage().split("\n")[0]);
            return ExitCode.USAGE;
        }
    }

    private boolean generate() throws InterruptedException, IOException {
        final LoadReport report = new LoadReport(options.requests());
        final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
        final LoadClient client = new LoadClient(options, new CommandHttpClient(IO_THREADS), timer, report);
        try {
            schedule(timer, client);
            report.await((long) options.seconds() * MILLIS_PER_SECOND + DRAIN_DEADLINES * options.deadlineMs());
        } finally {
            timer.shutdownNow();
        }
        if (options.record() != null) {
            Files.write(options.record(), client.recorded());
        }
        return report.print(System.out, options.leastRanRatio());
    }

    private void schedule(final ScheduledExecutorService timer, final LoadClient client) {
        final Random random = new Random(options.seed());
        final String run = Long.toHexString(System.currentTimeMillis());
        for (int i = 0; i < options.requests(); i++) {
            final RequestPlan.Kind kind = plan.draw(random);
            final String clientName = "client-" + random.nextInt(options.clients());
            final String id = run + "-" + i;
            final ScheduledFuture<?> unused = timer.schedule(
                    () -> client.attempt(new LoadRequest(kind, clientName, id, null, 0, MonotonicTime.nowMs())),
                    (long) (i * MILLIS_PER_SECOND / options.rate()),
                    TimeUnit.MILLISECONDS);
        }
    }
}
