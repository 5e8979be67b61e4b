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
 * One node of a fleet: its addresses, its files, and its current process. A node may be launched several times.
 *
 * <p>Any thread may change the settings; only one thread at a time may launch the node.
 */
public final class FleetMember {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String STARTED = "event=start ";
    private static final int EXITED = 0;
    /** The exit code of a JVM that received TERM and has run its shutdown hooks. */
    private static final int EXITED_BY_TERM = 143;

    public final String name;
    public final boolean core;
    /** The host and port for clients. */
    public final String http;
    /** The host and port for operators. */
    public final String operators;

    private final Path settings;
    public final Path data;
    /** Files in this folder activate faults, if the node is launched with fault hooks. */
    public final Path faultHooks;

    private final Path logFile;
    /** Null if other nodes connect to this node directly. */
    private final LinkRelay relay;

    private final AtomicInteger launches = new AtomicInteger();
    /** Null until the first launch. */
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

    /** Launches a process with this build, with or without fault hooks. */
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

    /** Returns whether the current process runs and has logged its start, and thus handles signals. */
    public boolean hasStarted() {
        try {
            return process.isAlive() && log().split(STARTED, -1).length - 1 >= launches.get();
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns whether the node was launched and its current process runs. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends a signal to the process and waits until it is sent; the name is one that {@code kill} accepts. */
    public void signal(final String signalName) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Returns whether an exit value is that of a node that stopped cleanly after a stop signal. */
    public static boolean isCleanExit(final int exitValue) {
        return exitValue == EXITED || exitValue == EXITED_BY_TERM;
    }

    /** Returns the log of all launches of this node. */
    public String log() throws IOException {
        return Files.readString(logFile);
    }

    /** Writes the settings file. */
    void writeSettings(final ObjectNode all) throws IOException {
        Files.writeString(settings, all.toPrettyString());
    }

    /** Changes one setting and replaces the settings file atomically. */
    public synchronized void changeSetting(final String key, final String value) throws IOException {
        final ObjectNode changed = (ObjectNode) JSON.readTree(settings.toFile());
        final Path next = settings.resolveSibling(name + ".next");
        Files.writeString(next, changed.put(key, value).toPrettyString());
        Files.move(next, settings, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Kills the process and closes the relay. */
    void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        if (relay != null) {
            relay.close();
        }
    }
}
