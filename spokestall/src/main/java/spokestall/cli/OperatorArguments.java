package spokestall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import spokestall.configuration.ConfigurationStore;

/** Parsed arguments of the command {@code operator}, after the method's name. The method's schema defines the flags. */
sealed interface OperatorArguments {
    /** A call to a node, with its timeout in milliseconds. */
    record Call(String address, ObjectNode params, long waitMs) implements OperatorArguments {}

    /** A request for the method's help. */
    record Help() implements OperatorArguments {}

    /** Invalid arguments, with the reason. */
    record Invalid(String reason) implements OperatorArguments {}

    /** Parses arguments, the first of which is the method's name. Parsing stops at the first invalid argument. */
    static OperatorArguments parse(final JsonNode method, final String[] args) {
        return new Parser(method).parse(args);
    }

    /** Parser of one command line. Used once. */
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
                    return new Invalid("expected a flag with a value, not: " + args[i]);
                }
                final String error = readFlag(args[i].substring(2), args[i + 1]);
                if (error != null) {
                    return new Invalid(error);
                }
            }
            if (address == null || !ADDRESS.matcher(address).matches()) {
                return new Invalid("--to: must be the IP address and port of a node");
            }
            return new Call(address, params, waitMs);
        }

        /** Reads one flag; returns an error text, or null. */
        private String readFlag(final String flag, final String value) {
            switch (flag) {
                case "to" -> address = value;
                case "waitMs" -> {
                    if (!WAIT_MS.matcher(value).matches()) {
                        return "--waitMs: must be a number of milliseconds from 1 to 9999999, not: " + value;
                    }
                    waitMs = Long.parseLong(value);
                }
                default -> {
                    return readParam(flag, value);
                }
            }
            return null;
        }

        /**
         * Reads one parameter of the call; returns an error text, or null. A value that starts with {@code @} is the path of the
         * file that contains the value.
         */
        private String readParam(final String flag, final String value) {
            final JsonNode schema = properties.get(flag);
            if (schema == null) {
                return "--" + flag + ": unknown flag for this method";
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
