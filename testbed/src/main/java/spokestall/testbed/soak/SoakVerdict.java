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

/** Collects the observations of a soak run and determines which rules it violated. Thread-safe. */
final class SoakVerdict {
    /** The rules that hold for every sequence of actions. */
    enum SoakRule {
        /**
         * After every process has started, the fleet accepts its first configuration within 30 s, and then every edge sees all upstreams
         * within another 30 s.
         */
        START,
        /** A response is complete and belongs to its request. */
        ANSWER,
        /** A run-once request runs at most once. */
        ONCE,
        /** A request whose response says that it did not run never runs. */
        NOT_RUN,
        /** A process that isn't killed responds to every request it has forwarded, also while it stops. */
        LOST,
        /** A process that isn't killed doesn't hold a request and then close the connection without a response. */
        MUTE,
        /** Each request ends with a response or with the end of its connection. */
        SILENT,
        /** Each process that is told to stop exits in time with the exit code of a clean stop. */
        STOP,
        /** No process exits without being killed or told to stop. */
        EXIT,
        /** No process logs a program fault. */
        FAULT,
        /** An acknowledged change stays in the configuration. */
        CHANGE,
        /** Some node acknowledges each change within 15 s. */
        UNACKNOWLEDGED,
        /** After the last series every node is fresh, and nearly all requests are served. */
        RECOVERY
    }

    /** One violation of a rule. */
    record Violation(SoakRule rule, String detail) {}

    /**
     * The longest time from the last byte of a request to the close of its connection without a response. Such a request is allowed: the
     * client sent it while the other side was closing the connection.
     */
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
            addViolation(SoakRule.STOP, member.name + " did not stop in time");
        } else if (!FleetMember.isCleanExit(process.exitValue())) {
            addViolation(SoakRule.STOP, member.name + " stopped with exit code " + process.exitValue());
        }
    }

    /** Checks that a member's process runs unless the soak run ended it. */
    synchronized void checkAlive(final FleetMember member) {
        if (!member.process.isAlive() && !history.wasEnded(member.process.pid())) {
            addViolation(
                    SoakRule.EXIT, member.name + " exited unexpectedly with exit code " + member.process.exitValue());
        }
    }

    synchronized void addViolation(final SoakRule rule, final String detail) {
        violations.add(new Violation(rule, detail));
    }

    /** Judges the outcomes of requests against the requests that upstreams began to run. */
    synchronized void judgeExchanges(final List<Ledger.Began> allBegan) {
        final Map<String, Integer> timesRun = new HashMap<>();
        for (final Ledger.Began began : allBegan) {
            timesRun.merge(began.requestId(), 1, Integer::sum);
        }
        exchanges.forEach(exchange -> judge(exchange, timesRun.getOrDefault(exchange.requestId(), 0)));
    }

    /** Checks that the final configuration has all acknowledged changes. */
    synchronized void judgeConfiguration(final JsonNode configuration) {
        final String text = configuration.toString();
        for (final String change : acknowledged) {
            if (!text.contains("\"" + change + "\"")) {
                addViolation(SoakRule.CHANGE, change + " is gone");
            }
        }
    }

    /** Checks the processes and their logs; called before the fleet stops at the end. */
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

    /** Returns the violations so far. */
    synchronized List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of requests that clients sent at or after a time. */
    synchronized long exchangesAfter(final long fromMs) {
        return exchanges.stream()
                .filter(exchange -> exchange.sentMs() >= fromMs)
                .count();
    }

    /** Returns the requests that clients sent at or after a time and that were not served. */
    synchronized List<SoakExchange> unservedAfter(final long fromMs) {
        return exchanges.stream()
                .filter(exchange -> exchange.sentMs() >= fromMs && exchange.end() != SoakExchange.End.RAN)
                .toList();
    }

    /** Returns a line with the number of requests by outcome and by result code, of restarts and of acknowledged changes. */
    synchronized String summary() {
        final Map<SoakExchange.End, Integer> ends = new EnumMap<>(SoakExchange.End.class);
        exchanges.forEach(exchange -> ends.merge(exchange.end(), 1, Integer::sum));
        final Map<String, Long> codes = byCode(exchanges.stream()
                .filter(exchange -> exchange.end() != SoakExchange.End.RAN)
                .toList());
        return "requests=" + exchanges.size() + " ends=" + ends + " codesOfOthers=" + codes + " restarts=" + restarts
                + " changes=" + acknowledged.size();
    }

    /** Counts requests by result code; the key of those without a code is "null". */
    static Map<String, Long> byCode(final List<SoakExchange> exchanges) {
        return exchanges.stream()
                .collect(Collectors.groupingBy(
                        exchange -> String.valueOf(exchange.code()), TreeMap::new, Collectors.counting()));
    }
}
