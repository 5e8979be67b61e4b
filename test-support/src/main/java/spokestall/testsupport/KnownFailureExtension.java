package spokestall.testsupport;

import java.lang.reflect.Method;
import java.util.Optional;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.AssertionFailedError;
import org.opentest4j.TestAbortedException;

/**
 * Passes over the failure of a test method that {@link KnownFailures} lists, and prints it. A listed method that passes fails
 * instead: what is mended is taken off the list.
 *
 * <p>Registered for all tests by the service loader. A failure outside the method itself, in a method that prepares it, is
 * never passed over.
 */
public final class KnownFailureExtension implements InvocationInterceptor {
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
        final Optional<KnownFailures.Entry> known = listed.of(
                context.getRequiredTestClass().getSimpleName(),
                method.getExecutable().getName());
        try {
            run(invocation, known);
        } catch (final TestAbortedException aborted) {
            if (known.isPresent()) {
                System.out.println(aborted.getMessage() + "; failed with: " + aborted.getCause());
            }
            throw aborted;
        }
    }

    static void run(final Invocation<Void> invocation, final Optional<KnownFailures.Entry> entry) throws Throwable {
        if (entry.isEmpty()) {
            invocation.proceed();
            return;
        }
        final KnownFailures.Entry known = entry.get();
        final String name = known.testClass() + " " + known.subject();
        try {
            invocation.proceed();
        } catch (final TestAbortedException aborted) {
            throw aborted;
        } catch (final Exception | AssertionError failure) {
            final String message = "known red: " + name + ": " + known.cause() + "; issue " + known.issue();
            throw new TestAbortedException(message, failure);
        }
        throw new AssertionFailedError(name + " passes: take its line out of KNOWN-RED.txt");
    }
}
