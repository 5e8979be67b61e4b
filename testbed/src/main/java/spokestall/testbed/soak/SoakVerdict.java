package spokestall.testbed.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import spokestall.testbed.fleet.Fleet;
import spokestall.testbed.fleet.FleetMember;
import spokestall.testbed.verdict.Ledger;

/** Collects what a soak run sees and says which rules it broke. Thread-safe. */
final class SoakVerdict {
    /** What must hold, whatever comes in whichever order. */
    enum SoakRule {
        /** The fleet takes its first configuration, and every edge sees all upstreams, within 30 s each after every process has started. */
        START,
        /** An answer is whole and belongs to its request. */
        ANSWER,
        /** A run-once request runs once at most. */
        ONCE,
        /** A request that is answered as not run never runs. */
        NOT_RUN,
        /** A process that isn't killed answers what it has passed on, also while it stops. */
        LOST,
        /** A process that isn't killed doesn't keep a request and then close without an answer. */
        MUTE,
        /** Each request ends. */
        SILENT,
        /** Each process that is told to stop ends in time, with an exit code that says so. */
        STOP,
        /** No process ends by itself. */
        EXIT,
        /** Nothing is logged as a fault of the program. */
        FAULT,
        /** A change that was acknowledged stays. */
        CHANGE,
        /** A change is acknowledged within 15 s at some node. */
        UNACKNOWLEDGED,
        /** After the last series every node is fresh and every request runs. */
        RECOVERY
    }

    /** One broken rule. */
    record Violation(SoakRule rule, String detail) {}

    /** How long a request may be kept that is then not answered: it crossed the closing of its connection. */
    private static final long CLOSE_RACE_MAX_MS = 500;

    private final ProcessHistory history;
    private final List<SoakExchange> exchanges = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();
    private final List<String> acknowledged = new ArrayList<>();
    private int restarts;

    SoakVerdict(final ProcessHistory history) {
        this.history = history;
    }

    synchronized void onExchange(final SoakExchange exchange) {
        exchanges.add(exchange);
    }

    synchronized void onRestarted() {
        restarts++;
    }

    synchronized void onAcknowledged(final String change) {
        acknowledged.add(change);
    }

    synchronized void onUnacknowledged(final String change) {
        addViolation(SoakRule.UNACKNOWLEDGED, change);
    }

    synchronized void onStopEnded(final FleetMember member, final Process process, final boolean inTime) {
        if (!inTime) {
            addViolation(SoakRule.STOP, member.name + " still runs");
        } else if (!FleetMember.isCleanExit(process.exitValue())) {
            addViolation(SoakRule.STOP, member.name + " ended with " + process.exitValue());
        }
    }

    /** A member that nobody ended must run. */
    synchronized void checkAlive(final FleetMember member) {
        if (!member.process.isAlive() && !history.wasEnded(member.process.pid())) {
            addViolation(SoakRule.EXIT, member.name + " ended by itself with " + member.process.exitValue());
        }
    }

    synchronized void addViolation(final SoakRule rule, final String what) {
        violations.add(new Violation(rule, what));
    }

    /** Judges how requests ended, by what upstreams began. */
    synchronized void judgeExchanges(final List<Ledger.Began> allBegan) {
        final Map<String, Integer> timesRun = new HashMap<>();
        for (final Ledger.Began began : allBegan) {
            timesRun.merge(began.requestId(), 1, Integer::sum);
        }
        exchanges.forEach(exchange -> judge(exchange, timesRun.getOrDefault(exchange.requestId(), 0)));
    }

    /** Judges the configuration as it is at the end. */
    synchronized void judgeConfiguration(final JsonNode configuration) {
        final String text = configuration.toString();
        for (final String change : acknowledged) {
            if (!text.contains("\"" + change + "\"")) {
                addViolation(SoakRule.CHANGE, change + " is gone");
            }
        }
    }

    /** Judges the processes as they are before the last stop, and what they have logged. */
    synchronized void judgeMembers(final Fleet fleet) throws IOException {
        for (final FleetMember member : fleet.members().values()) {
            checkAlive(member);
            if (member.log().contains("event=fault ")) {
                addViolation(SoakRule.FAULT, member.name + " logged a fault");
            }
        }
    }

    private void judge(final SoakExchange exchange, final int timesRun) {
        if (exchange.runOnce() && timesRun > 1) {
            addViolation(SoakRule.ONCE, exchange + " ran " + timesRun + " times");
        }
        switch (exchange.end()) {
            case WRONG -> addViolation(SoakRule.ANSWER, exchange.toString());
            case SILENT -> addViolation(SoakRule.SILENT, exchange.toString());
            case NOT_RUN -> {
                if (timesRun > 0) {
                    addViolation(SoakRule.NOT_RUN, exchange.toString());
                }
            }
            case CLOSED -> judgeClosed(exchange, timesRun);
            default -> {}
        }
    }

    private void judgeClosed(final SoakExchange exchange, final int timesRun) {
        if (history.wasKilled(exchange.pid())) {
            return;
        }
        if (timesRun > 0) {
            addViolation(SoakRule.LOST, exchange.toString());
        } else if (exchange.endedMs() - exchange.sentMs() > CLOSE_RACE_MAX_MS) {
            addViolation(SoakRule.MUTE, exchange.toString());
        }
    }

    /** Returns the broken rules so far. */
    synchronized List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of requests that ended after a time. */
    synchronized long exchangesAfter(final long fromMs) {
        return exchanges.stream()
                .filter(exchange -> exchange.sentMs() >= fromMs)
                .count();
    }

    /** Returns the requests that were sent after a time and did not run. */
    synchronized List<SoakExchange> unservedAfter(final long fromMs) {
        return exchanges.stream()
                .filter(exchange -> exchange.sentMs() >= fromMs && exchange.end() != SoakExchange.End.RAN)
                .toList();
    }

    /** Returns how many requests ended in which way, and how many changes were acknowledged, on one line. */
    synchronized String summary() {
        final Map<SoakExchange.End, Integer> ends = new EnumMap<>(SoakExchange.End.class);
        exchanges.forEach(exchange -> ends.merge(exchange.end(), 1, Integer::sum));
        final Map<String, Long> codes = byCode(exchanges.stream()
                .filter(exchange -> exchange.end() != SoakExchange.End.RAN)
                .toList());
        return "requests=" + exchanges.size() + " ends=" + ends + " codesOfOthers=" + codes + " restarts=" + restarts
                + " changes=" + acknowledged.size();
    }

    /** Counts requests by their answers' result codes; those without an answer have the code "null". */
    static Map<String, Long> byCode(final List<SoakExchange> exchanges) {
        return exchanges.stream()
                .collect(Collectors.groupingBy(
                        exchange -> String.valueOf(exchange.code()), TreeMap::new, Collectors.counting()));
    }
}
