package spokestall;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;
import com.tngtech.archunit.library.dependencies.SliceRule;
import java.time.Instant;
import java.util.Set;
import org.junit.jupiter.api.Test;
import spokestall.feed.Follower;
import spokestall.feed.Versions;
import spokestall.policy.Acceptance;
import spokestall.ring.FileSegments;
import spokestall.ring.Folders;

/** Which package may use what. docs/architecture.md shows the same picture. */
class ArchitectureTest {
    private static final JavaClasses PRODUCT = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("spokestall");

    private static final String INPUT_AND_OUTPUT = "spokestall.rim..";
    private static final String PROGRAMS = "programs";
    private static final String NODE = "node";

    /** State machines: time, chance, network and disk come in from outside. */
    private static final String[] STATE_MACHINES = {
        "spokestall.ballot..",
        "spokestall.duty..",
        "spokestall.feed..",
        "spokestall.hand..",
        "spokestall.listing..",
        "spokestall.policy..",
        "spokestall.time..",
        "spokestall.view..",
        "spokestall.edge..",
        "spokestall.audit..",
    };

    /** Commands that are run by people, as against what makes up a node. */
    private static final Set<String> COMMANDS =
            Set.of(Main.class.getName(), Operator.class.getName(), Demand.class.getName(), AuditCheck.class.getName());

    @Test
    void stateMachinesKnowNoSocketsFilesClocksThreads() {
        noSockets(STATE_MACHINES).check(PRODUCT);
        noFiles(STATE_MACHINES).check(PRODUCT);
        noClockAndNoThread(STATE_MACHINES).check(PRODUCT);
        noInputAndOutput(STATE_MACHINES).check(PRODUCT);
    }

    /** The same rules find what the package for input and output does, so they do look. */
    @Test
    void theRulesFindSocketsFilesClocksThreadsWhereTheyAre() {
        assertThat(broken(noSockets(INPUT_AND_OUTPUT))).contains("HttpClient");
        assertThat(broken(noFiles(INPUT_AND_OUTPUT))).contains("AuditFiles");
        assertThat(broken(noClockAndNoThread(INPUT_AND_OUTPUT))).contains("SystemClock");
        assertThat(broken(noInputAndOutput("spokestall"))).contains("Daemon");
    }

    private static String broken(final ArchRule rule) {
        return rule.evaluate(PRODUCT).getFailureReport().toString();
    }

    private static ArchRule noSockets(final String... packages) {
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "io.undertow..", "org.xnio..");
    }

    private static ArchRule noFiles(final String... packages) {
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .dependOnClassesThat()
                .resideInAPackage("java.nio.file..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.io\\.(File.*|RandomAccessFile)");
    }

    private static ArchRule noClockAndNoThread(final String... packages) {
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Instant.class, "now")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching(
                        "java\\.lang\\.Thread|java\\.util\\.concurrent\\.(ThreadLocalRandom|.*Future|.*Executor.*)");
    }

    private static ArchRule noInputAndOutput(final String... packages) {
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .dependOnClassesThat()
                .resideInAPackage(INPUT_AND_OUTPUT)
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(FileSegments.class, Folders.class);
    }

    /** The log itself is driven by the simulator too; two classes touch files: its own, and the sync of folders. */
    @Test
    void twoClassesOfTheLogTouchFiles() {
        classes()
                .that()
                .resideInAPackage("spokestall.ring..")
                .and()
                .doNotBelongToAnyOf(FileSegments.class, Folders.class)
                .should()
                .onlyDependOnClassesThat()
                .resideOutsideOfPackages("java.nio.file..", "java.nio.channels..")
                .check(PRODUCT);
    }

    /** The node is wired from state machines alone, so that the simulator can run it. */
    @Test
    void aNodeKnowsNoSocketsAndNoFiles() {
        noClasses()
                .that()
                .resideInAPackage("spokestall")
                .and()
                .doNotBelongToAnyOf(Main.class, Operator.class, Demand.class, AuditCheck.class)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        "io.undertow..",
                        "org.xnio..",
                        INPUT_AND_OUTPUT)
                .check(PRODUCT);
    }

    /**
     * No package needs another that needs it. The root package is two parts, a node and the commands that people run.
     * One cycle is left: {@link Acceptance} is where a change is proposed, so it asks {@link Follower} for the newest
     * version in force, while the feed carries what the policy package defines.
     */
    @Test
    void noPackagesNeedEachOther() {
        final SliceRule rule =
                slices().assignedFrom(new PackagesAndCommands()).should().beFreeOfCycles();
        assertThat(broken(rule)).as("the cycle that is left").contains(Acceptance.class.getName());
        rule.ignoreDependency(Acceptance.class, Follower.class)
                .ignoreDependency(Acceptance.class, Versions.class)
                .check(PRODUCT);
    }

    private static final class PackagesAndCommands implements SliceAssignment {
        @Override
        public SliceIdentifier getIdentifierOf(final JavaClass type) {
            return SliceIdentifier.of(slice(type));
        }

        @Override
        public String getDescription() {
            return "packages, with the root package in two parts";
        }
    }

    private static String slice(final JavaClass type) {
        final String name = type.getPackageName();
        if (!name.equals("spokestall")) {
            return name;
        }
        return COMMANDS.stream()
                        .anyMatch(
                                c -> type.getName().equals(c) || type.getName().startsWith(c + "$"))
                ? PROGRAMS
                : NODE;
    }
}
