package nettletrail.app;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The layout: what decides does no I/O, what is on the platform's class path stays small, arrows point one way. */
class LayoutTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("nettletrail");
    private static final String[] PLATFORM = {"nettletrail.decision..", "nettletrail.core..", "nettletrail.http..",
            "nettletrail.upstream..", "nettletrail.discovery..", "nettletrail.sim..", "nettletrail.door.."};

    @Test
    void whatDecidesDoesNoIo() {
        classes().that().resideInAPackage("nettletrail.decision..").or().haveSimpleNameEndingWith("Decider")
                .should().onlyDependOnClassesThat()
                .resideInAnyPackage("nettletrail..", "java.lang", "java.lang.runtime", "java.lang.invoke", "java.util",
                        "java.util.function", "java.util.stream", "com.github.benmanes.caffeine.cache")
                .check(ALL);
        noClasses().that().resideInAPackage("nettletrail.decision..").or().haveSimpleNameEndingWith("Decider")
                .should().dependOnClassesThat().belongToAnyOf(Thread.class, Runtime.class, Process.class,
                        java.util.Timer.class, java.util.Random.class)
                .orShould().callMethod(System.class, "nanoTime").orShould().callMethod(System.class, "currentTimeMillis")
                .orShould().accessField(System.class, "out").orShould().accessField(System.class, "err")
                .orShould().accessField(System.class, "in").check(ALL);
    }

    @Test
    void theDecisionModuleDependsOnNothing() {
        noClasses().that().resideInAPackage("nettletrail.decision..").should().dependOnClassesThat()
                .resideOutsideOfPackages("nettletrail.decision..", "java..").check(ALL);
    }

    @Test
    void thePlatformsClassPathHasNettyAndJacksonJrOnly() {
        classes().that().resideInAnyPackage(PLATFORM).should().onlyDependOnClassesThat()
                .resideInAnyPackage(append(PLATFORM, "java..", "sun.misc..", "io.netty..", "com.fasterxml.jackson.jr.."))
                .check(ALL);
        noClasses().that().resideInAnyPackage(PLATFORM).should().dependOnClassesThat()
                .resideInAnyPackage("io.grpc..", "com.google..", "io.envoyproxy..", "io.netty.handler.codec.http2..")
                .check(ALL);
    }

    @Test
    void arrowsPointOneWay() {
        slices().matching("nettletrail.(*)..").should().beFreeOfCycles().check(ALL);
        noClasses().that().resideInAPackage("nettletrail.core..").should().dependOnClassesThat()
                .resideInAnyPackage("nettletrail.http..", "nettletrail.upstream..", "nettletrail.discovery..",
                        "nettletrail.door..", "nettletrail.sim..").check(ALL);
        noClasses().that().resideOutsideOfPackages("nettletrail.app..").should().dependOnClassesThat()
                .resideInAPackage("nettletrail.app..").check(ALL);
    }

    @Test
    void noSubsystemKnowsAnother() {
        String[] all = {"nettletrail.extproc..", "nettletrail.limits..", "nettletrail.tokens..", "nettletrail.plans..",
                "nettletrail.members.."};
        for (String each : all) {
            String[] others = java.util.Arrays.stream(all).filter(other -> !other.equals(each)).toArray(String[]::new);
            noClasses().that().resideInAPackage(each).should().dependOnClassesThat().resideInAnyPackage(others).check(ALL);
        }
    }

    private static String[] append(String[] to, String... more) {
        String[] all = java.util.Arrays.copyOf(to, to.length + more.length);
        System.arraycopy(more, 0, all, to.length, more.length);
        return all;
    }
}
