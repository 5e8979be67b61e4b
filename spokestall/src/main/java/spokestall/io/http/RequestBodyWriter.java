package spokestall.io.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSinkChannel;

/** Writes the body of a request to its channel, in one go or in two. Used on the connection's I/O thread. */
final class RequestBodyWriter {
    private final StreamSinkChannel channel;
    private final byte[] body;
    private final Consumer<IOException> onFailure;

    /**
     * Creates a writer.
     *
     * @param onFailure receives the error if the body can't be written
     */
    RequestBodyWriter(final StreamSinkChannel channel, final byte[] body, final Consumer<IOException> onFailure) {
        this.channel = channel;
        this.body = body;
        this.onFailure = onFailure;
    }

    /** Writes the body and ends the request. */
    void writeAll() {
        write(ByteBuffer.wrap(body), this::endRequest);
    }

    /** Writes the body but for its last byte; {@code onWritten} runs once that has been handed to the connection. */
    void writeAllButLast(final Runnable onWritten) {
        write(ByteBuffer.wrap(body, 0, body.length - 1), () -> {
            channel.suspendWrites();
            onWritten.run();
        });
    }

    /** Writes the last byte and ends the request. */
    void writeLast() {
        write(ByteBuffer.wrap(body, body.length - 1, 1), this::endRequest);
    }

    private void write(final ByteBuffer left, final Runnable onWritten) {
        try {
            while (left.hasRemaining()) {
                if (channel.write(left) == 0) {
                    channel.getWriteSetter().set(c -> write(left, onWritten));
                    channel.resumeWrites();
                    return;
                }
            }
        } catch (final IOException e) {
            onFailure.accept(e);
            return;
        }
        onWritten.run();
    }

    private void endRequest() {
        try {
            channel.shutdownWrites();
        } catch (final IOException e) {
            onFailure.accept(e);
            return;
        }
        flush();
    }

    private void flush() {
        try {
            if (channel.flush()) {
                channel.suspendWrites();
            } else {
                channel.getWriteSetter().set(c -> flush());
                channel.resumeWrites();
            }
        } catch (final IOException e) {
            onFailure.accept(e);
        }
    }
}
