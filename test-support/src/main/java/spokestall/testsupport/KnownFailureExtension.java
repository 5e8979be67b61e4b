package spokestall.testsupport;

import java.lang.reflect.Method;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.AssertionFailedError;
import org.opentest4j.TestAbortedException;

/**
 * Aborts a test method that {@link KnownFailures} lists instead of failing it, and prints the failure. A listed method that passes fails
 * instead, so that the entry of a fixed fault is removed from the list.
 *
 * <p>JUnit registers the extension for all tests through the service loader. A failure outside the test method, in a setup method, always
 * fails the test.
 */
public final class KnownFailureExtension implements InvocationInterceptor {
    /** Whether a test method runs once or once for each set of arguments. */
    enum Repetition {
        ONCE,
        WITH_PARAMETERS
    }

    private final KnownFailures listed;

    /** Creates the extension for this repository's list. */
    public KnownFailureExtension() {
        this(KnownFailures.listed());
    }

    KnownFailureExtension(final KnownFailures listed) {
        this.listed = listed;
    }

    @Override
    public void interceptTestMethod(
            final Invocation<Void> invocation,
            final ReflectiveInvocationContext<Method> method,
            final ExtensionContext context)
            throws Throwable {
        run(invocation, entryOf(method, context), Repetition.ONCE, System.out::println);
    }

    /** A listed method with parameters may pass for some arguments, so a pass doesn't show that the fault is fixed. */
    @Override
    public void interceptTestTemplateMethod(
            final Invocation<Void> invocation,
            final ReflectiveInvocationContext<Method> method,
            final ExtensionContext context)
            throws Throwable {
        run(invocation, entryOf(method, context), Repetition.WITH_PARAMETERS, System.out::println);
    }

    private Optional<KnownFailures.Entry> entryOf(
            final ReflectiveInvocationContext<Method> method, final ExtensionContext context) {
        return listed.of(
                context.getRequiredTestClass().getSimpleName(),
                method.getExecutable().getName());
    }

    static void run(
            final Invocation<Void> invocation,
            final Optional<KnownFailures.Entry> known,
            final Repetition repetition,
            final Consumer<String> printer)
            throws Throwable {
        if (known.isEmpty()) {
            invocation.proceed();
            return;
        }
        final String notice = known.get().notice();
        try {
            invocation.proceed();
        } catch (final TestAbortedException aborted) {
            throw aborted;
        } catch (final Exception | AssertionError failure) {
            printer.accept(notice + "; failed with: " + failure);
            throw new TestAbortedException(notice, failure);
        }
        if (repetition == Repetition.ONCE) {
            throw new AssertionFailedError("the test passes; its line must be taken out of KNOWN-RED.txt: " + notice);
        }
    }
}
