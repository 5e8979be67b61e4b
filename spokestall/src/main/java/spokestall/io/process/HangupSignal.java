package spokestall.io.process;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Proxy;

/**
 * The signal SIGHUP, which says that the settings have changed. Without a handler the Java runtime takes it for a request
 * to end, so it is caught first thing in a process; one that comes before anyone listens is kept for the listener.
 */
public final class HangupSignal {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String NAME = "HUP";
    private static final HangupSignal PROCESS = new HangupSignal();
    private Runnable listener;
    private boolean pending;

    /** A signal of its own, for tests; a process has {@link #process}. */
    HangupSignal() {}

    /** The process's own. */
    public static HangupSignal process() {
        return PROCESS;
    }

    /** Catches the signal from now on, where the machine has it. */
    public static void install() {
        try {
            handle();
        } catch (final ReflectiveOperationException | IllegalArgumentException e) {
            LOG.atWarning().log("event=signal_unavailable signal=%s why=\"%s\"", NAME, e);
        }
    }

    /** The module jdk.unsupported, in every JDK, has the only way to catch a signal. It is called by name: the compiler
     * warns of any other use of it, and no annotation silences that. */
    private static void handle() throws ReflectiveOperationException {
        final Class<?> signal = Class.forName("sun.misc.Signal");
        final Class<?> handler = Class.forName("sun.misc.SignalHandler");
        final Object raise = Proxy.newProxyInstance(
                HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                    if (method.getName().equals("handle")) {
                        PROCESS.onSignal();
                    }
                    return null;
                });
        signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance(NAME), raise);
    }

    /** Tells this one of each signal; it must only hand on. */
    public synchronized void setListener(final Runnable newListener) {
        listener = newListener;
        if (pending) {
            pending = false;
            newListener.run();
        }
    }

    synchronized void onSignal() {
        if (listener == null) {
            pending = true;
        } else {
            listener.run();
        }
    }
}
