package spokestall.testbed.fleet;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import spokestall.io.LogLineFormatter;
import spokestall.io.ShutdownLogging;
import spokestall.io.process.NodeProcess;
import spokestall.io.protocol.ProtocolAdapter;
import spokestall.settings.Settings;
import spokestall.settings.SettingsReader;
import spokestall.settings.SettingsResult;
import spokestall.storage.SegmentStore;
import spokestall.usage.SendDeadline;
import spokestall.usage.UsageReportClient;

/**
 * The shipped node with fault hooks. Files in the hook folder activate faults while they exist: with {@code stall} commits to disk wait,
 * with {@code full} commits fail, and with {@code gap} the node pauses between the deadline check of a usage report and its send.
 */
public final class FaultHookNode {
    private static final long SEND_PAUSE_MS = 6500;
    private static final Executor COMMITS = Executors.newSingleThreadExecutor();

    private FaultHookNode() {}

    /** Runs a node; the arguments are its role ({@code core} or {@code edge}), its settings file and the hook folder. */
    public static void main(final String[] args) throws Exception {
        ShutdownLogging.install();
        LogLineFormatter.install();
        final boolean core = args[0].equals("core");
        final Settings settings =
                ((SettingsResult.Valid) SettingsReader.read(Path.of(args[1]), Map.of(), core)).settings();
        final Path hooks = Path.of(args[2]);
        Runtime.getRuntime()
                .halt(new NodeProcess(
                                settings,
                                core,
                                new NodeProcess.Wrappers() {
                                    @Override
                                    public SegmentStore wrapStore(final SegmentStore disk) {
                                        return new FaultyStore(disk, hooks);
                                    }

                                    @Override
                                    public UsageReportClient wrapUsageReports(final UsageReportClient platform) {
                                        return (call, deadline, permit, callback) -> platform.report(
                                                call, pauseBeforeSend(hooks, deadline), permit, callback);
                                    }
                                },
                                ProtocolAdapter.nativeAdapter())
                        .run());
    }

    private static SendDeadline pauseBeforeSend(final Path hooks, final SendDeadline deadline) {
        return () -> {
            final long latestMs = deadline.latestMs();
            if (Files.exists(hooks.resolve("gap"))) {
                Fleet.pause(SEND_PAUSE_MS);
            }
            return latestMs;
        };
    }

    /** A segment store that stalls or fails commits while the corresponding hook file exists. */
    private record FaultyStore(SegmentStore disk, Path hooks) implements SegmentStore {
        @Override
        public int count() {
            return disk.count();
        }

        @Override
        public int sizeBytes() {
            return disk.sizeBytes();
        }

        @Override
        public byte[] read(final int segment) {
            return disk.read(segment);
        }

        @Override
        public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
            // During a stall commits queue in order, as they do in front of an unresponsive disk.
            COMMITS.execute(() -> {
                while (Files.exists(hooks.resolve("stall"))) {
                    Fleet.pause(20);
                }
                disk.commit(chunks, ok -> done.accept(ok && !Files.exists(hooks.resolve("full"))));
            });
        }
    }
}
