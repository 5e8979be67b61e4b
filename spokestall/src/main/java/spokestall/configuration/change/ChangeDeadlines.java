package spokestall.configuration.change;

/**
 * How long a change is pursued, and when its caller is answered meanwhile; in milliseconds after its arrival.
 *
 * <p>A change that takes longer than its caller waits is pursued all the same: its caller asks again, here or elsewhere, and
 * finds it committed. If each node gave it up with the call, a slow node would only hinder the next one, whose proposal is
 * outranked by what the first left behind.
 *
 * @param redirectMillis when the caller is sent to a voter, if this node isn't one
 * @param answerMillis when the caller is answered at the latest, not before it is redirected
 * @param pursueMillis until when the change is proposed, not less than that
 */
public record ChangeDeadlines(long redirectAfterMillis, long replyAfterMillis, long abandonAfterMillis) {
    /**
     * Checks the order of the three.
     *
     * @throws IllegalArgumentException if one is less than the one before it
     */
    public ChangeDeadlines {
        if (redirectAfterMillis > replyAfterMillis || replyAfterMillis > abandonAfterMillis) {
            throw new IllegalArgumentException("expected redirect <= answer <= pursue, found " + redirectAfterMillis
                    + ", " + replyAfterMillis + ", " + abandonAfterMillis);
        }
    }

    /** Returns the patience of a change that is given up with its call. */
    public static ChangeDeadlines of(final long timeoutMillis) {
        return new ChangeDeadlines(timeoutMillis, timeoutMillis, timeoutMillis);
    }

    /** Whether the caller may be answered while the change is still pursued. */
    boolean mayReplyEarly() {
        return redirectAfterMillis < abandonAfterMillis;
    }
}
