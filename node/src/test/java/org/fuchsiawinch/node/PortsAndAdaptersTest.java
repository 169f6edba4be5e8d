package org.fuchsiawinch.node;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noMethods;

/** Checks that the modules that make decisions use no sockets, threads, clocks or adapters. */
public class PortsAndAdaptersTest {

    private static final String[] PURE = {
        "org.fuchsiawinch.model..",
        "org.fuchsiawinch.core..",
        "org.fuchsiawinch.protocol..",
        "org.fuchsiawinch.membership.."
    };
    private static final String[] ADAPTERS = {
        "io.netty..",
        "reactor..",
        "org.slf4j..",
        "com.fasterxml.jackson..",
        "com.codahale..",
        "java.net..",
        "java.util.concurrent..",
        "org.fuchsiawinch.node..",
        "org.fuchsiawinch.wire..",
        "org.fuchsiawinch.runtime.."
    };

    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.fuchsiawinch");

    @Test
    public void pureModulesUseNoAdapters() {
        noClasses()
                .that()
                .resideInAnyPackage(PURE)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(ADAPTERS)
                .check(classes);
    }

    @Test
    public void pureModulesReadNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage(PURE)
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(classes);
    }

    @Test
    public void publicMethodsHaveNoGetPrefix() {
        noMethods()
                .that()
                .arePublic()
                .and()
                .areDeclaredInClassesThat()
                .resideInAPackage("org.fuchsiawinch..")
                .should()
                .haveNameMatching("get[A-Z].*")
                .check(classes);
    }
}
