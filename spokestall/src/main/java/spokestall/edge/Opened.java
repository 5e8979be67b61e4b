package spokestall.edge;

/** What admission says before the body is read. */
public sealed interface Opened {
    /** Not admitted; the body is not to be read. */
    record Deny(Answer answer) implements Opened {}

    /** Admitted; up to so many bytes of body may be read. */
    record Admit(Admitted ask) implements Opened {}
}
