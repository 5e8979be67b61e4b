package spokestall.configuration.change;

import com.fasterxml.jackson.databind.JsonNode;
import spokestall.configuration.ConfigurationChange;

/**
 * An operator's request to change the configuration, independent of a particular version. If another change commits first, the
 * request is drafted again on top of the new version, as long as it still applies there.
 */
@FunctionalInterface
public interface ChangeDraft {
    /** The result of drafting a request on top of a version. */
    sealed interface Drafted {
        /** The request results in a change to propose. */
        record Write(ConfigurationChange.Kind kind, JsonNode json) implements Drafted {}

        /** The request applies only to a different version. */
        record StaleBase() implements Drafted {}

        /** The request refers to an object that doesn't exist in the version. */
        record NotFound() implements Drafted {}

        /**
         * The request is invalid, or conflicts with this version.
         *
         * @param pointer the JSON pointer of the invalid element
         * @param reason why the element is invalid
         */
        record Rejected(String pointer, String reason) implements Drafted {}
    }

    /**
     * Drafts the change on top of a version. May be called many times and must have no side effects.
     *
     * @param tree the configuration of the version, which must not be modified
     */
    Drafted draftOn(JsonNode tree);

    /** How a committed change relates to what this request changes. */
    enum Relation {
        /** The change leaves alone what this request changes. */
        UNRELATED,
        /** The change set what this request sets, to the same value. */
        SAME,
        /** The change set what this request sets, to another value. */
        CONFLICTING
    }

    /** Returns how a change relates to this request, which has no operator's change id. */
    default Relation relationTo(final ConfigurationChange committed) {
        return Relation.UNRELATED;
    }
}
