package spokestall.listing;

/** An upstream as the platform lists it. */
public record Listed(String instance, String service, String address, String district, String region,
        boolean present, boolean leaving, long stampMs) {
}
