package spokestall.message;

import java.io.IOException;

/** A whole note that this program can't read: of a kind, or in a version, that came after it. The wire itself is good. */
public final class UnknownMessageException extends IOException {
    private static final long serialVersionUID = 1;

    UnknownMessageException(final String what) {
        super(what);
    }
}
