package spokestall.proxy;

/** The outcome of admission, before the body is read. */
public sealed interface AdmissionResult {
    /** Not admitted; the body is not to be read. */
    record Rejected(Response response) implements AdmissionResult {}

    /** Admitted; its body may be read, within its service's limits. */
    record Admitted(AdmittedRequest request) implements AdmissionResult {}
}
