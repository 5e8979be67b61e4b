package spokestall.configuration.change;

import com.fasterxml.jackson.databind.JsonNode;
import spokestall.configuration.ConfigurationChange;

/**
 * An operator's request to change the configuration, before it is a change to a particular version: it is drafted anew on
 * top of each version that committed first, for as long as it still applies there.
 */
@FunctionalInterface
public interface ChangeDraft {
    /** What a draft comes to on top of one version. */
    sealed interface Drafted {
        /** This change is to be proposed. */
        record Write(ConfigurationChange.Kind kind, JsonNode json) implements Drafted {}

        /** The version is as requested already; nothing is proposed. */
        record Unchanged() implements Drafted {}

        /** The request was made against a version other than this one. */
        record StaleBase() implements Drafted {}

        /** The request names something that the version doesn't have. */
        record NotFound() implements Drafted {}

        /**
         * The request itself is wrong, or doesn't go together with this version.
         *
         * @param pointer the JSON pointer of what is wrong
         * @param reason why it is wrong
         */
        record Rejected(String pointer, String reason) implements Drafted {}
    }

    /**
     * Drafts the change on top of a version. It may be called many times and must have no effect.
     *
     * @param tree the version's configuration, which must not be modified
     */
    Drafted draftOn(JsonNode tree);
}
