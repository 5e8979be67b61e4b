package spokestall;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import spokestall.storage.DirectorySync;
import spokestall.storage.FileSegmentStore;

/** Checks the allowed dependencies between packages. docs/architecture.md shows the same structure. */
class ArchitectureTest {
    private static final JavaClasses PRODUCT = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("spokestall");

    private static final String INPUT_AND_OUTPUT = "spokestall.io..";
    private static final String NODE = "spokestall.node..";
    private static final String COMMANDS = "spokestall.cli..";

    /** State machines, which receive time, randomness, network and disk from outside. */
    private static final String[] STATE_MACHINES = {
        "spokestall.audit..",
        "spokestall.configuration..",
        "spokestall.consensus..",
        "spokestall.discovery..",
        "spokestall.gossip..",
        "spokestall.handoff..",
        "spokestall.lease..",
        "spokestall.membership..",
        "spokestall.proxy..",
        "spokestall.time..",
        "spokestall.usage..",
    };

    @Test
    void stateMachinesUseNoSocketsFilesClocksOrThreads() {
        noSockets(STATE_MACHINES).check(PRODUCT);
        noFiles(STATE_MACHINES).check(PRODUCT);
        noClockAndNoThread(STATE_MACHINES).check(PRODUCT);
        noInputAndOutput(STATE_MACHINES).check(PRODUCT);
    }

    /**
     * Proves that the rules detect violations: they must fail for the packages that do use sockets, files, clocks and
     * threads.
     */
    @Test
    void rulesDetectSocketsFilesClocksAndThreads() {
        assertThat(violations(noSockets(INPUT_AND_OUTPUT))).contains("HttpClient");
        assertThat(violations(noFiles(INPUT_AND_OUTPUT))).contains("AuditFiles");
        assertThat(violations(noClockAndNoThread(INPUT_AND_OUTPUT))).contains("SystemClock");
        assertThat(violations(noInputAndOutput(COMMANDS))).contains("NodeProcess");
    }

    private static String violations(final ArchRule rule) {
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
                .belongToAnyOf(FileSegmentStore.class, DirectorySync.class);
    }

    /**
     * Only two storage classes access files: the log's file store and the directory sync. The simulator runs all other
     * storage classes.
     */
    @Test
    void onlyTwoStorageClassesAccessFiles() {
        classes()
                .that()
                .resideInAPackage("spokestall.storage..")
                .and()
                .doNotBelongToAnyOf(FileSegmentStore.class, DirectorySync.class)
                .should()
                .onlyDependOnClassesThat()
                .resideOutsideOfPackages("java.nio.file..", "java.nio.channels..")
                .check(PRODUCT);
    }

    /** A node consists of state machines only, so that the simulator can run it. */
    @Test
    void nodeUsesNoSocketsOrFiles() {
        noClasses()
                .that()
                .resideInAPackage(NODE)
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

    /** Packages must not depend on each other in a cycle. */
    @Test
    void packagesHaveNoCyclicDependencies() {
        slices().matching("spokestall.(**)").should().beFreeOfCycles().check(PRODUCT);
    }

    /** The cycle rule covers every package: no package lies outside its pattern. */
    @Test
    void cycleRuleCoversEveryPackage() {
        assertThat(PRODUCT.stream().map(type -> type.getPackageName()).distinct())
                .contains("spokestall.node", "spokestall.cli", "spokestall.configuration.feed", "spokestall.io.http")
                .allMatch(name -> name.startsWith("spokestall."));
    }
}
