package spokestall.testsupport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.InvocationInterceptor.Invocation;
import org.opentest4j.AssertionFailedError;
import org.opentest4j.TestAbortedException;
import spokestall.testsupport.KnownFailureExtension.Repetition;

class KnownFailuresTest {
    private static final int MANY = 12;
    private static final String LINE = "SomeTest fails: the disk is lost: both copies; issue 24";
    private static final KnownFailures.Entry ENTRY =
            new KnownFailures.Entry("SomeTest", "fails", "the disk is lost: both copies", 24);

    private static Invocation<Void> failing(final Throwable failure) {
        return () -> {
            throw failure;
        };
    }

    @Test
    void aLineHasClassSubjectCauseAndIssue() {
        final KnownFailures known =
                KnownFailures.parse(List.of(LINE, "", "SimulationTest KEY CUTS PADMA 5: x; issue 7"));
        assertThat(known.of("SomeTest", "fails")).contains(ENTRY);
        assertThat(known.of("SomeTest", "other")).isEmpty();
        assertThat(known.of("SimulationTest"))
                .extracting(KnownFailures.Entry::subject)
                .containsExactly("KEY CUTS PADMA 5");
    }

    @Test
    void aLineWithoutCauseOrIssueIsRejected() {
        for (final String line : List.of("SomeTest fails", "SomeTest fails: cause", "SomeTest: cause; issue 24")) {
            assertThatThrownBy(() -> KnownFailures.parse(List.of(line)))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining(line);
        }
    }

    @Test
    void eachCaseHasALineOfItsOwnHoweverManyThereAre() {
        assertThat(KnownFailures.parse(Collections.nCopies(MANY, LINE)).of("SomeTest"))
                .hasSize(MANY);
    }

    @Test
    void aListedFailureAbortsTheTestAndIsPrinted() {
        for (final Repetition repetition : Repetition.values()) {
            final List<String> printed = new ArrayList<>();
            assertThatThrownBy(() -> KnownFailureExtension.run(
                            failing(new AssertionError("lost")), Optional.of(ENTRY), repetition, printed::add))
                    .isInstanceOf(TestAbortedException.class)
                    .hasMessageContaining("SomeTest fails")
                    .hasMessageContaining("issue 24");
            assertThat(printed)
                    .singleElement()
                    .asString()
                    .startsWith("known red: " + LINE)
                    .contains("lost");
        }
    }

    @Test
    void anUnlistedFailureFailsTheTest() {
        final AssertionError failure = new AssertionError("lost");
        assertThatThrownBy(() -> KnownFailureExtension.run(
                        failing(failure), Optional.empty(), Repetition.ONCE, KnownFailuresTest::mustNotPrint))
                .isSameAs(failure);
    }

    @Test
    void aListedTestThatPassesFails() {
        assertThatThrownBy(() -> KnownFailureExtension.run(
                        () -> null, Optional.of(ENTRY), Repetition.ONCE, KnownFailuresTest::mustNotPrint))
                .isInstanceOf(AssertionFailedError.class)
                .hasMessageContaining("taken out")
                .hasMessageContaining("SomeTest fails");
    }

    @Test
    void aListedParameterizedTestMayPassForSomeArguments() throws Throwable {
        KnownFailureExtension.run(
                () -> null, Optional.of(ENTRY), Repetition.WITH_PARAMETERS, KnownFailuresTest::mustNotPrint);
    }

    private static void mustNotPrint(final String line) {
        throw new IllegalStateException("printed: " + line);
    }
}
