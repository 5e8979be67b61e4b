package spokestall.listing;

/** What a probe found an upstream to be. */
public enum Status {
    READY,
    LEAVING,
    DOWN,
    FOREIGN
}
