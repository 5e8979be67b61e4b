package spokestall.proxy;

/** What admission says before the body is read. */
public sealed interface AdmissionResult {
    /** Not admitted; the body is not to be read. */
    record Rejected(Response answer) implements AdmissionResult {}

    /** Admitted; up to so many bytes of body may be read. */
    record Admit(AdmittedRequest ask) implements AdmissionResult {}
}
