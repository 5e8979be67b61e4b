package spokestall.testbed.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One node of a fleet: where it is reached, its files, and the process that runs it now, which may have been launched several times.
 *
 * <p>Its settings may be changed from any thread; it is launched by one thread at a time.
 */
public final class FleetMember {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String STARTED = "event=start ";
    private static final int EXITED = 0;
    /** A JVM that ends by TERM gives this after its hooks have run. */
    private static final int EXITED_BY_TERM = 143;

    public final String name;
    public final boolean core;
    /** Where clients reach it. */
    public final String http;
    /** Where operators reach it. */
    public final String operators;

    private final Path settings;
    public final Path data;
    /** Files in this folder make the machine around it fail, if it is launched so. */
    public final Path faultHooks;

    private final Path logFile;
    /** Null if other nodes reach it directly. */
    private final LinkRelay relay;

    private final AtomicInteger launches = new AtomicInteger();
    /** Null until it is first launched. */
    public volatile Process process;

    FleetMember(
            final Path folder,
            final String name,
            final boolean core,
            final String http,
            final String operators,
            final LinkRelay relay)
            throws IOException {
        this.name = name;
        this.core = core;
        this.http = http;
        this.operators = operators;
        this.settings = folder.resolve(name + ".json");
        this.data = folder.resolve(name);
        this.faultHooks = Files.createDirectories(folder.resolve(name + ".hooks"));
        this.logFile = folder.resolve(name + ".log");
        this.relay = relay;
    }

    /** Launches a process with this build, with a failing machine around it or without one. */
    void launch(final NodeBuild build, final boolean hooked) throws IOException {
        launches.incrementAndGet();
        final String java =
                Path.of(System.getProperty("java.home"), "bin", "java").toString();
        process = new ProcessBuilder(
                        java,
                        "-ea",
                        "-Xmx256m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        build.classPath(),
                        build.mainClass(),
                        core ? "core" : "edge",
                        hooked ? settings.toString() : "--settings",
                        hooked ? faultHooks.toString() : settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                .start();
    }

    /** Whether its present process runs and has logged its start, so that it handles signals. */
    public boolean hasStarted() {
        try {
            return process.isAlive() && log().split(STARTED, -1).length - 1 >= launches.get();
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Whether it was launched and its present process runs. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends its process a signal, named as {@code kill} takes it, and waits until it is sent. */
    public void signal(final String signalName) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Whether an exit value is that of a node that was told to stop and did. */
    public static boolean isCleanExit(final int exitValue) {
        return exitValue == EXITED || exitValue == EXITED_BY_TERM;
    }

    /** What it has logged, in all of its lives. */
    public String log() throws IOException {
        return Files.readString(logFile);
    }

    /** Writes its settings. */
    void writeSettings(final ObjectNode all) throws IOException {
        Files.writeString(settings, all.toPrettyString());
    }

    /** Changes one setting in its file, all at once for whoever reads it. */
    public synchronized void changeSetting(final String key, final String value) throws IOException {
        final ObjectNode changed = (ObjectNode) JSON.readTree(settings.toFile());
        final Path next = settings.resolveSibling(name + ".next");
        Files.writeString(next, changed.put(key, value).toPrettyString());
        Files.move(next, settings, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Ends its process and its relay at once. */
    void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        if (relay != null) {
            relay.close();
        }
    }
}
