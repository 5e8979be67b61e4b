package spokestall.configuration.change;

/**
 * The deadlines of a change, in milliseconds after its arrival: when its caller is answered, and when the change is abandoned.
 *
 * <p>The coordinator keeps proposing a change that takes longer than its caller waits; the caller repeats the request, on this
 * node or another, and finds the change committed. If each node abandoned the change with the call, a slow node would only
 * obstruct the next one, because the next node's proposal would be outranked by the slow node's unfinished proposal.
 *
 * @param redirectAfterMillis when the caller is redirected to a voter, if this node isn't one
 * @param replyAfterMillis when the caller is answered at the latest; at least {@code redirectAfterMillis}
 * @param abandonAfterMillis when the coordinator stops proposing the change; at least {@code replyAfterMillis}
 */
public record ChangeDeadlines(long redirectAfterMillis, long replyAfterMillis, long abandonAfterMillis) {
    /**
     * Creates the deadlines.
     *
     * @throws IllegalArgumentException if the deadlines are not in ascending order
     */
    public ChangeDeadlines {
        if (redirectAfterMillis > replyAfterMillis || replyAfterMillis > abandonAfterMillis) {
            throw new IllegalArgumentException("expected redirect <= reply <= abandon, found " + redirectAfterMillis
                    + ", " + replyAfterMillis + ", " + abandonAfterMillis);
        }
    }

    /** Returns the deadlines of a change that is abandoned when its call times out. */
    public static ChangeDeadlines of(final long timeoutMillis) {
        return new ChangeDeadlines(timeoutMillis, timeoutMillis, timeoutMillis);
    }

    /** Returns whether the caller may be answered before the change is abandoned. */
    boolean mayReplyEarly() {
        return redirectAfterMillis < abandonAfterMillis;
    }
}
