package org.bulrushwheel;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

/** Layers depend in one direction, and decisions have neither I/O nor a clock of their own. */
@AnalyzeClasses(packages = "org.bulrushwheel", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule LAYERS = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("Model")
            .definedBy("org.bulrushwheel.model..")
            .layer("Logic")
            .definedBy("org.bulrushwheel.logic..")
            .layer("Kernel")
            .definedBy("org.bulrushwheel.kernel..")
            .layer("Logging")
            .definedBy("org.bulrushwheel.logging..")
            .layer("Storage")
            .definedBy("org.bulrushwheel.storage..")
            .layer("Wire")
            .definedBy("org.bulrushwheel.wire..")
            .layer("Control")
            .definedBy("org.bulrushwheel.control..")
            .layer("Server")
            .definedBy("org.bulrushwheel.server..")
            .layer("Daemon")
            .definedBy("org.bulrushwheel.daemon..")
            .layer("Platform")
            .definedBy("org.bulrushwheel.platform..")
            .layer("Tools")
            .definedBy(
                    "org.bulrushwheel.cli..",
                    "org.bulrushwheel.local..",
                    "org.bulrushwheel.measure..",
                    "org.bulrushwheel.standin..",
                    "org.bulrushwheel.client..")
            .whereLayer("Tools")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("Logging")
            .mayOnlyBeAccessedByLayers("Tools")
            .whereLayer("Platform")
            .mayOnlyBeAccessedByLayers("Tools")
            .whereLayer("Daemon")
            .mayOnlyBeAccessedByLayers("Platform", "Tools")
            .whereLayer("Server")
            .mayOnlyBeAccessedByLayers("Daemon", "Platform", "Tools")
            .whereLayer("Control")
            .mayOnlyBeAccessedByLayers("Server", "Daemon", "Tools")
            .whereLayer("Wire")
            .mayOnlyBeAccessedByLayers("Control", "Server", "Daemon", "Tools")
            .whereLayer("Storage")
            .mayOnlyBeAccessedByLayers("Control", "Daemon", "Tools")
            .whereLayer("Kernel")
            .mayOnlyBeAccessedByLayers("Wire", "Control", "Server", "Daemon", "Tools");

    @ArchTest
    static final ArchRule DECISIONS_ARE_PURE = ArchRuleDefinition.noClasses()
            .that()
            .resideInAPackage("org.bulrushwheel.logic..")
            .and()
            .haveSimpleNameNotContaining("SystemTimeSource")
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .dependOnClassesThat()
            .resideInAnyPackage("io.undertow..", "io.netty..", "java.nio.file..", "java.net.http..");

    @ArchTest
    static final ArchRule MODEL_STANDS_ALONE = ArchRuleDefinition.noClasses()
            .that()
            .resideInAPackage("org.bulrushwheel.model..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "org.bulrushwheel.logic..",
                    "org.bulrushwheel.server..",
                    "org.bulrushwheel.wire..",
                    "org.bulrushwheel.kernel..");

    @ArchTest
    static final ArchRule LOGIC_STANDS_ON_MODEL = ArchRuleDefinition.noClasses()
            .that()
            .resideInAPackage("org.bulrushwheel.logic..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "org.bulrushwheel.server..",
                    "org.bulrushwheel.wire..",
                    "org.bulrushwheel.kernel..",
                    "org.bulrushwheel.storage..",
                    "org.bulrushwheel.control..");
}
