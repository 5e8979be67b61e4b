package spokestall.cli;

import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Option;

/** The flags of the load generator; their names and texts are its interface. */
final class LoadOptions {
    @Option(name = "--to", required = true, metaVar = "IP:PORT,...", usage = "nodes to ask where to go")
    private String to;

    @Option(name = "--plan", required = true, metaVar = "FILE", usage = "JSON list of {key, path, runOnce, weight}")
    private Path plan;

    @Option(name = "--rate", usage = "asks a second")
    private double rate = 200;

    @Option(name = "--seconds", usage = "how long")
    private int seconds = 20;

    @Option(name = "--clients", usage = "how many clients ask in turn")
    private int clients = 200;

    @Option(name = "--deadlineMs", usage = "each ask's span")
    private long deadlineMs = 5000;

    @Option(name = "--least", usage = "share of asks that must run for a good verdict")
    private double least = 0.99;

    @Option(name = "--seed", usage = "seed of the order of asks")
    private long seed = 1;

    @Option(name = "--echo", usage = "answers are JSON whose answerTo must be the ask's id; any other is a bad verdict")
    private boolean echo;

    @Option(name = "--record", metaVar = "FILE", usage = "writes a line for each answer: id, outcome, code, time")
    private Path record;

    @Option(name = "--help", help = true, usage = "this page")
    private boolean help;

    /** Returns the addresses of the nodes that are asked for edges. */
    List<String> nodes() {
        return List.of(to.split(","));
    }

    /** Returns the file of the kinds of requests. */
    Path plan() {
        return plan;
    }

    /** Returns the requests per second. */
    double rate() {
        return rate;
    }

    /** Returns for how many seconds requests begin. */
    int seconds() {
        return seconds;
    }

    /** Returns how many requests begin in all. */
    int requests() {
        return (int) (rate * seconds);
    }

    /** Returns the number of clients that requests are drawn for. */
    int clients() {
        return clients;
    }

    /** Returns the deadline of each request in milliseconds, over all of its attempts. */
    long deadlineMs() {
        return deadlineMs;
    }

    /** Returns the least ratio of requests that must run for a good verdict. */
    double leastRanRatio() {
        return least;
    }

    /** Returns the seed of the order of requests. */
    long seed() {
        return seed;
    }

    /** Returns whether each response must name its request. */
    boolean echo() {
        return echo;
    }

    /** Returns the file that each response is recorded in, or null. */
    Path record() {
        return record;
    }

    /** Returns whether only the help is printed. */
    boolean help() {
        return help;
    }
}
