package spokestall.view;

/** A node as others speak of it: where it is, what it does, and when it was last heard, on the fleet's clock. */
public record Member(String name, String address, String httpAddress, boolean core, String district, String region,
        long life, long heardMs, boolean leaving) {
}
