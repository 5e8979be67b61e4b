package spokestall.io.process;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Proxy;

/**
 * The signal SIGHUP, which announces changed settings. Without a handler the Java runtime ends the process on this signal, so the
 * handler is installed first in a process. A signal that arrives before a listener is set is kept for that listener. Thread-safe.
 */
public final class HangupSignal {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String NAME = "HUP";
    private static final HangupSignal PROCESS = new HangupSignal();
    private Runnable listener;
    private boolean pending;

    /** Creates a separate instance, for tests; a process uses {@link #process}. */
    HangupSignal() {}

    /** Returns the instance that the process's signal handler notifies. */
    public static HangupSignal process() {
        return PROCESS;
    }

    /** Installs the signal handler; logs a warning if the platform has no such signal. */
    public static void install() {
        try {
            handle();
        } catch (final ReflectiveOperationException | IllegalArgumentException e) {
            LOG.atWarning().log("event=signal_unavailable signal=%s why=\"%s\"", NAME, e);
        }
    }

    /**
     * Handles the signal through {@code sun.misc.Signal} in the module jdk.unsupported, the only API for signals, which every JDK has.
     * The class is used by reflection, because the compiler warns of any direct use and no annotation suppresses that warning.
     */
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

    /** Sets the listener, which runs on each signal. It runs on the signal handler's thread and must only pass the signal on. */
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
