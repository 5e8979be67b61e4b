package spokestall.configuration.change;

import com.fasterxml.jackson.databind.JsonNode;
import spokestall.configuration.ConfigurationChange;

/** An order that is made into a change on top of whatever configuration is newest, for as long as it still fits there. */
public interface ChangeDraft {
    /** What the order comes to. */
    sealed interface Drafted {
        /** This change is to be made. */
        record Write(ConfigurationChange.Kind kind, JsonNode json) implements Drafted {}

        /** What it asks for is so already. */
        record Already() implements Drafted {}

        /** It was made against something else than what is there. */
        record Stale() implements Drafted {}

        /** It names something that is not there. */
        record Missing() implements Drafted {}

        /** It can't be read as an order. */
        record Bad(String pointer, String reason) implements Drafted {}
    }

    /** Example: {@code tree -> tree.path("holds").has("d1") ? new Drafted.Already() : new Drafted.Write(PATCH, patch)} */
    Drafted on(JsonNode tree);
}
