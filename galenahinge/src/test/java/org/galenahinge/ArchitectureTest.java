package org.galenahinge;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ArchitectureTest {
    private static final JavaClasses PRODUCTION_CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.galenahinge");
    private static final String[] DECISION_CORE_PACKAGES = {
        "org.galenahinge.routing",
        "org.galenahinge.limit",
        "org.galenahinge.quarantine",
        "org.galenahinge.idempotency",
        "org.galenahinge.ticket.."
    };
    private static final String DECISION_CORE_CLASS_NAMES = ".*\\.(PullPlan|EngineCommands|Fleet)";

    /** A rule and its name in the test report. */
    private record Rule(String name, ArchRule rule) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Rule> rules() {
        return Stream.of(
                new Rule(
                        "decision cores do not depend on the network",
                        noClasses()
                                .that()
                                .resideInAnyPackage(DECISION_CORE_PACKAGES)
                                .or()
                                .haveNameMatching(DECISION_CORE_CLASS_NAMES)
                                .should()
                                .dependOnClassesThat()
                                .resideInAnyPackage("io.netty..", "org.apache.pekko..", "java.net..")),
                new Rule(
                        "decision cores do not read the clock",
                        noClasses()
                                .that()
                                .resideInAnyPackage(DECISION_CORE_PACKAGES)
                                .or()
                                .haveNameMatching(DECISION_CORE_CLASS_NAMES)
                                .should()
                                .callMethod(System.class, "nanoTime")
                                .orShould()
                                .callMethod(System.class, "currentTimeMillis")),
                new Rule(
                        "slot processes use no actor system, so that they stay small",
                        noClasses()
                                .that()
                                .resideInAnyPackage(
                                        "org.galenahinge.slot",
                                        "org.galenahinge.engine",
                                        "org.galenahinge.http",
                                        "org.galenahinge.reader")
                                .should()
                                .dependOnClassesThat()
                                .resideInAnyPackage("org.apache.pekko..")),
                new Rule(
                        "the slot daemon does not depend on the entry daemon",
                        noClasses()
                                .that()
                                .resideInAPackage("org.galenahinge.slot")
                                .should()
                                .dependOnClassesThat()
                                .resideInAPackage("org.galenahinge.entry")),
                new Rule(
                        "no class starts an operating system process",
                        noClasses().should().dependOnClassesThat().haveNameMatching("java.lang.ProcessBuilder.*")));
    }

    @ParameterizedTest
    @MethodSource("rules")
    void classesObeyRule(Rule rule) {
        rule.rule().check(PRODUCTION_CLASSES);
    }
}
