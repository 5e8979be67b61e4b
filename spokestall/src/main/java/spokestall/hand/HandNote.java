package spokestall.hand;

import spokestall.wire.Content;
import spokestall.wire.Note;

/** What nodes keep for one another and hand over. */
public sealed interface HandNote extends Note {
    /** A run-once ask's answer, for cores of the tenant's home regions only. */
    record Keep(String key, String digest, Content content) implements HandNote {}

    /** Asks for a kept answer. */
    record Ask(String from, long askId, String key, String digest) implements HandNote {}

    /** Asks a core to keep the name of a register for a voter that missed it. */
    record Hint(String missing, String key) implements HandNote {}

    /** The reply to {@link Ask}; content is null when there is none. */
    record Back(long askId, String key, Content content) implements HandNote {}
}
