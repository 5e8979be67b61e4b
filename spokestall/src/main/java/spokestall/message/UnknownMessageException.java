package spokestall.message;

import java.io.IOException;

/**
 * A complete frame is of a version or type that this program doesn't know, as a newer program sends it. The receiver skips the
 * frame; the connection stays usable.
 */
public final class UnknownMessageException extends IOException {
    private static final long serialVersionUID = 1;

    UnknownMessageException(final String versionOrType) {
        super(versionOrType);
    }
}
