package spokestall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import spokestall.configuration.ConfigurationStore;

/** The arguments of the command {@code operator} behind the method's name, read by the method's schema. */
sealed interface OperatorArguments {
    /** A call to a node; the wait is in milliseconds. */
    record Call(String address, ObjectNode params, long waitMs) implements OperatorArguments {}

    /** The method's help was requested. */
    record Help() implements OperatorArguments {}

    /** Arguments that can't be used, and why. */
    record Invalid(String reason) implements OperatorArguments {}

    /** Reads arguments, of which the first is the method's name; the first one that can't be used ends the reading. */
    static OperatorArguments parse(final JsonNode method, final String[] args) {
        return new Parser(method).parse(args);
    }

    /** Reads one command line. */
    final class Parser {
        private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}");
        private static final Pattern WAIT_MS = Pattern.compile("[1-9]\\d{0,6}");
        private static final long WAIT_DEFAULT_MS = 10_000;

        private final JsonNode properties;
        private final ObjectNode params = ConfigurationStore.JSON.createObjectNode();
        private String address;
        private long waitMs = WAIT_DEFAULT_MS;

        private Parser(final JsonNode method) {
            this.properties = method.path("params").path("properties");
        }

        private OperatorArguments parse(final String[] args) {
            for (int i = 1; i < args.length; i += 2) {
                if (args[i].equals("--help")) {
                    return new Help();
                }
                if (!args[i].startsWith("--") || i + 1 >= args.length) {
                    return new Invalid("a flag with a value was expected, not: " + args[i]);
                }
                final String error = readFlag(args[i].substring(2), args[i + 1]);
                if (error != null) {
                    return new Invalid(error);
                }
            }
            if (address == null || !ADDRESS.matcher(address).matches()) {
                return new Invalid("--to: needs a node's IP number and port");
            }
            return new Call(address, params, waitMs);
        }

        /** Returns what is wrong with the flag, or null. */
        private String readFlag(final String flag, final String value) {
            switch (flag) {
                case "to" -> address = value;
                case "waitMs" -> {
                    if (!WAIT_MS.matcher(value).matches()) {
                        return "--waitMs: needs a number of milliseconds, not: " + value;
                    }
                    waitMs = Long.parseLong(value);
                }
                default -> {
                    return readParam(flag, value);
                }
            }
            return null;
        }

        /** A value that begins with @ names a file that has the value. */
        private String readParam(final String flag, final String value) {
            final JsonNode schema = properties.get(flag);
            if (schema == null) {
                return "--" + flag + ": no such flag for this method";
            }
            try {
                final String text = value.startsWith("@") ? Files.readString(Path.of(value.substring(1))) : value;
                if (schema.path("type").asText().equals("string")) {
                    params.put(flag, text);
                } else {
                    params.set(flag, ConfigurationStore.JSON.readTree(text));
                }
                return null;
            } catch (final IOException e) {
                return "--" + flag + ": " + e.getMessage().split("\n")[0];
            }
        }
    }
}
