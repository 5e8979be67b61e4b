package spokestall.settings;

import java.util.List;
import java.util.Map;

/**
 * Validator of all settings. Checks each value on its own and then, if all are valid, the values against each other. Adds errors
 * to a list and throws nothing. Not thread-safe; used once.
 */
final class SettingsValidator {
    /** Number of seeds required if the number of cores is configured. */
    private static final int REQUIRED_SEEDS = 3;

    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;

    private final Map<String, String> values;
    private final List<SettingsError> errors;

    /** @param values every setting with its value; null if none is given and there is no default */
    SettingsValidator(final Map<String, String> values, final List<SettingsError> errors) {
        this.values = values;
        this.errors = errors;
    }

    void validate(final boolean core) {
        SettingDefinitions.all().forEach((name, key) -> checkValue(name, key, values.get(name)));
        final int seeds = values.get("seeds") == null
                ? REQUIRED_SEEDS
                : values.get("seeds").split(",", -1).length;
        if (seeds != REQUIRED_SEEDS && !(seeds < REQUIRED_SEEDS && "0".equals(values.get("cores")))) {
            error("seeds", "needs three addresses, has " + seeds);
        }
        if (errors.isEmpty()) {
            final Settings settings = new Settings(values);
            checkAddresses(settings, core);
            checkTimings(settings);
        }
    }

    private void error(final String key, final String reason) {
        errors.add(new SettingsError(key, reason));
    }

    private void checkValue(final String name, final SettingDefinition key, final String value) {
        if (value == null) {
            error(name, "must be given: " + key.description());
            return;
        }
        switch (key.kind()) {
            case NUMBER -> checkNumber(name, key, value);
            case ADDRESS -> checkAddress(name, value);
            case OPTIONAL_ADDRESS -> {
                if (!value.isEmpty()) {
                    checkAddress(name, value);
                }
            }
            case ADDRESSES -> {
                for (final String address : value.split(",", -1)) {
                    checkAddress(name, address);
                }
            }
            case NETWORKS -> {
                for (final String network : value.isEmpty() ? new String[0] : value.split(",", -1)) {
                    checkNetwork(name, network);
                }
            }
            case ZONES -> {
                if (!value.matches("[^=,]+=[^=,]+(,[^=,]+=[^=,]+)*")) {
                    error(name, "'" + value + "' is not of the form d1=r1,d2=r1");
                }
            }
            case TEXT -> {
                if (name.equals("name") && !value.matches("[A-Za-z0-9._-]{1,64}")) {
                    error(name, "'" + value + "' has other than letters, digits, . _ -");
                }
            }
        }
    }

    private void checkNumber(final String name, final SettingDefinition key, final String value) {
        if (key.defaultFraction() != null && value.isEmpty()) {
            return;
        }
        try {
            if (!key.range().contains(Double.parseDouble(value))) {
                error(
                        name,
                        value + " is not between " + key.range().min() + " and "
                                + key.range().max());
            }
        } catch (final NumberFormatException e) {
            error(name, "'" + value + "' is not a number");
        }
    }

    private void checkNetwork(final String name, final String network) {
        final String[] parts = network.split("/", -1);
        checkAddress(name, parts[0] + ":1");
        if (parts.length > 2 || parts.length == 2 && !parts[1].matches("[12]?\\d|3[0-2]")) {
            error(name, "'" + network + "' is not an IP number or a network like 10.1.0.0/16");
        }
    }

    private void checkAddress(final String name, final String address) {
        if (!isAddress(address)) {
            error(name, "'" + address + "' is not an IP number and port like 10.0.0.1:7100");
        }
    }

    private static boolean isAddress(final String address) {
        if (!address.matches("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}")) {
            return false;
        }
        final int colon = address.indexOf(':');
        for (final String octet : address.substring(0, colon).split("\\.")) {
            if (Integer.parseInt(octet) > MAX_OCTET) {
                return false;
            }
        }
        final int port = Integer.parseInt(address.substring(colon + 1));
        return port > 0 && port <= MAX_PORT;
    }

    private void checkAddresses(final Settings settings, final boolean core) {
        if (!settings.zones().containsKey(settings.text("district"))) {
            error("district", "'" + settings.text("district") + "' is not one of districts");
        }
        if (core && settings.text("data").isEmpty()) {
            error("data", "must be given: a core needs a data directory");
        }
        if (settings.seeds().stream().distinct().count() != settings.seeds().size()) {
            error("seeds", "contains an address twice");
        }
        if (settings.integer("bootstrap") == 1 && settings.integer("cores") != 0) {
            error("bootstrap", "must be 0 unless cores is 0");
        }
        if (settings.text("address").equals(settings.text("http"))) {
            error("http", "must differ from address");
        }
        checkAddress("operators", settings.operatorAddress());
        if (settings.operatorAddress().equals(settings.text("http"))
                || settings.operatorAddress().equals(settings.text("address"))
                || settings.operatorAddress().equals(settings.listenAddress())) {
            error("operators", settings.operatorAddress() + " is already used as http, address or listen");
        }
    }

    private void checkTimings(final Settings settings) {
        if (settings.integer("freshMs") < 2 * settings.integer("proofMs")) {
            error("freshMs", "must be at least 2 x proofMs, so that proofs are renewed in time");
        }
        if (settings.integer("freshMs") + settings.integer("farMs") >= settings.integer("keyBoundMs")) {
            error("freshMs", "must be less than keyBoundMs - farMs, so that a withdrawn key stops working in time");
        }
        if (settings.integer("uncountedMs") > 0
                && settings.integer("uncountedMs") < 2 * settings.integer("countPushMs")) {
            error(
                    "uncountedMs",
                    "must be 0 or at least 2 x countPushMs, so that a majority acknowledges counts in time");
        }
        if (settings.integer("leaseMs") < 8 * settings.integer("farMs")) {
            error("leaseMs", "must be at least 8 x farMs, so that the lease is renewed in time");
        }
        if (settings.integer("reportDueMs") < 3 * settings.integer("leaseMs")) {
            error("reportDueMs", "must be at least 3 x leaseMs, so that another node can take over reporting in time");
        }
    }
}
