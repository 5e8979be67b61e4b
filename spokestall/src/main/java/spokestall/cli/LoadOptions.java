package spokestall.cli;

import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Command-line flags of the load generator. Scripts rely on their names. */
final class LoadOptions {
    @Option(name = "--to", required = true, metaVar = "IP:PORT,...", usage = "nodes that are asked for edges")
    private String to;

    @Option(name = "--plan", required = true, metaVar = "FILE", usage = "JSON list of {key, path, runOnce, weight}")
    private Path plan;

    @Option(name = "--rate", usage = "requests per second")
    private double rate = 200;

    @Option(name = "--seconds", usage = "duration in seconds")
    private int seconds = 20;

    @Option(name = "--clients", usage = "number of clients")
    private int clients = 200;

    @Option(name = "--deadlineMs", usage = "deadline of each request in milliseconds, over all its attempts")
    private long deadlineMs = 5000;

    @Option(name = "--least", usage = "minimum ratio of requests that must run for a good verdict")
    private double least = 0.99;

    @Option(name = "--seed", usage = "random seed for the order of requests")
    private long seed = 1;

    @Option(
            name = "--echo",
            usage = "responses are JSON whose answerTo must be the request's id; any other makes the verdict bad")
    private boolean echo;

    @Option(
            name = "--record",
            metaVar = "FILE",
            usage = "file to write a line to for each response: id, outcome, code, time")
    private Path record;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    /** Returns the addresses of the nodes that {@link EdgeLookup} calls. */
    List<String> nodes() {
        return List.of(to.split(","));
    }

    /** Returns the file with the {@link RequestPlan}. */
    Path plan() {
        return plan;
    }

    /** Returns the number of requests started per second. */
    double rate() {
        return rate;
    }

    /** Returns the time during which requests start, in seconds. */
    int seconds() {
        return seconds;
    }

    /** Returns the total number of requests. */
    int requests() {
        return (int) (rate * seconds);
    }

    /** Returns the number of clients; each request is assigned to a random one. */
    int clients() {
        return clients;
    }

    /** Returns the deadline of each request over all its attempts, in milliseconds. */
    long deadlineMs() {
        return deadlineMs;
    }

    /** Returns the minimum ratio of requests that must run for a good verdict. */
    double leastRanRatio() {
        return least;
    }

    /** Returns the random seed for the order of requests. */
    long seed() {
        return seed;
    }

    /** Returns whether each response must contain its request's id. */
    boolean echo() {
        return echo;
    }

    /** Returns the file to record responses in, or null. */
    Path record() {
        return record;
    }

    /** Returns whether to print the help instead of sending requests. */
    boolean help() {
        return help;
    }
}
