package spokestall.io;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.List;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Formats each log record as one line of key=value pairs: time, level, then the event with its keys, then the stack trace if there
 * is one. Records of libraries get {@code event=library}. Thread-safe.
 */
public final class LogLineFormatter extends Formatter {
    private static final List<Logger> WARNINGS_ONLY =
            List.of(Logger.getLogger("io.undertow"), Logger.getLogger("org.xnio"), Logger.getLogger("org.jboss"));

    /** Replaces all handlers of the process by one that writes this format to standard error. */
    public static void install() {
        final Logger root = Logger.getLogger("");
        for (final Handler replaced : root.getHandlers()) {
            root.removeHandler(replaced);
        }
        final Handler handler = new ConsoleHandler();
        handler.setFormatter(new LogLineFormatter());
        root.addHandler(handler);
        WARNINGS_ONLY.forEach(logger -> logger.setLevel(Level.WARNING));
    }

    @Override
    public String format(final LogRecord record) {
        final String text = record.getMessage();
        final StringBuilder line = new StringBuilder("time=")
                .append(Instant.ofEpochMilli(record.getMillis()))
                .append(" level=")
                .append(record.getLevel())
                .append(' ');
        line.append(text != null && text.startsWith("event=") ? text : "event=library text=\"" + text + "\"");
        if (record.getThrown() != null) {
            final StringWriter out = new StringWriter();
            record.getThrown().printStackTrace(new PrintWriter(out));
            line.append(" trace=\"")
                    .append(out.toString()
                            .trim()
                            .replace("\"", "'")
                            .replace("\n", " | ")
                            .replace("\t", ""))
                    .append('"');
        }
        return line.append('\n').toString();
    }
}
