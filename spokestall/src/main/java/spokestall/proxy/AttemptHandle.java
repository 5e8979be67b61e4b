package spokestall.proxy;

/** An attempt that was begun. */
public interface AttemptHandle {
    /**
     * Breaks the attempt off: its connection is closed, so that the upstream ends its work, and it ends as lost or as not sent. Has
     * no effect on an attempt that has ended. Called on the event loop; the attempt's end is still notified there, later.
     */
    void cancel();
}
