package spokestall.proxy;

/** The outcome of admission, before the body is read. */
public sealed interface AdmissionResult {
    /** The request was rejected; the caller must not read its body. */
    record Rejected(Response response) implements AdmissionResult {}

    /** The request was admitted; the caller may read its body, up to the service's limits. */
    record Admitted(AdmittedRequest request) implements AdmissionResult {}
}
