package spokestall.policy;

/** What a tenant's path leads to. A run-once binding's asks must never run twice. */
public record Binding(String name, String path, String service, boolean runOnce) {
}
