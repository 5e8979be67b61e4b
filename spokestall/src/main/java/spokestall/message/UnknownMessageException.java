package spokestall.message;

import java.io.IOException;

/**
 * Thrown for a complete frame whose version or message type this program doesn't know; newer programs send such frames.
 * The receiver skips the frame; the connection stays usable.
 */
public final class UnknownMessageException extends IOException {
    private static final long serialVersionUID = 1;

    UnknownMessageException(final String versionOrType) {
        super(versionOrType);
    }
}
