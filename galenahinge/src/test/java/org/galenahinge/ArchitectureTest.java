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
    private static final JavaClasses PRODUCT = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.galenahinge");
    private static final String[] CORE_PACKAGES = {
        "org.galenahinge.routing", "org.galenahinge.limit", "org.galenahinge.idempotency", "org.galenahinge.ticket.."
    };
    private static final String CORE_CLASSES = ".*\\.(PullPlan|EngineCommands|Fleet)";

    /** A rule with the name that stands in the report. */
    private record Rule(String name, ArchRule rule) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Rule> rules() {
        return Stream.of(
                new Rule(
                        "decision cores know no network",
                        noClasses()
                                .that()
                                .resideInAnyPackage(CORE_PACKAGES)
                                .or()
                                .haveNameMatching(CORE_CLASSES)
                                .should()
                                .dependOnClassesThat()
                                .resideInAnyPackage("io.netty..", "org.apache.pekko..", "java.net..")),
                new Rule(
                        "decision cores know no clock",
                        noClasses()
                                .that()
                                .resideInAnyPackage(CORE_PACKAGES)
                                .or()
                                .haveNameMatching(CORE_CLASSES)
                                .should()
                                .callMethod(System.class, "nanoTime")
                                .orShould()
                                .callMethod(System.class, "currentTimeMillis")),
                new Rule(
                        "slot processes stay small: no actor system",
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
                        "the daemons do not know each other",
                        noClasses()
                                .that()
                                .resideInAPackage("org.galenahinge.slot")
                                .should()
                                .dependOnClassesThat()
                                .resideInAPackage("org.galenahinge.entry")),
                new Rule(
                        "a process starts no other",
                        noClasses().should().dependOnClassesThat().haveNameMatching("java.lang.ProcessBuilder.*")));
    }

    @ParameterizedTest
    @MethodSource("rules")
    void holds(Rule rule) {
        rule.rule().check(PRODUCT);
    }
}
