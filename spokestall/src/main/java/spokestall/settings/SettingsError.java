package spokestall.settings;

/** One error in the settings: the key concerned and the reason why its value is invalid. */
public record SettingsError(String key, String reason) {
    @Override
    public String toString() {
        return key + ": " + reason;
    }
}
