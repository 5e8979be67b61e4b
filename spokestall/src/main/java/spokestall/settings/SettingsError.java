package spokestall.settings;

/** One error in the settings: which key it is about, and what is wrong with its value. */
public record SettingsError(String key, String reason) {
    @Override
    public String toString() {
        return key + ": " + reason;
    }
}
