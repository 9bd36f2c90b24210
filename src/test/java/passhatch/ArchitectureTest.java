package passhatch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks that packages depend only on packages of lower layers. */
final class ArchitectureTest {

    private static final JavaClasses MAIN_CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("passhatch");

    /** The proxy's top package composes the others; these depend on lower layers only. */
    @Test
    void proxyPackagesDependOnLowerLayersOnly() {
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("passhatch.proxy..")
                .layer("composition")
                .definedBy("passhatch.proxy")
                .layer("client")
                .definedBy("passhatch.proxy.client..")
                .layer("backend")
                .definedBy("passhatch.proxy.backend..")
                .layer("discovery")
                .definedBy("passhatch.proxy.discovery..")
                .layer("control")
                .definedBy("passhatch.proxy.control..")
                .layer("flow")
                .definedBy("passhatch.proxy.flow..")
                .layer("base")
                .definedBy("passhatch.proxy.base..")
                .whereLayer("composition")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("client")
                .mayOnlyBeAccessedByLayers("composition")
                .whereLayer("backend")
                .mayOnlyBeAccessedByLayers("composition")
                .whereLayer("discovery")
                .mayOnlyBeAccessedByLayers("composition")
                .whereLayer("control")
                .mayOnlyBeAccessedByLayers("composition")
                .whereLayer("flow")
                .mayOnlyBeAccessedByLayers("composition", "client", "backend")
                .check(MAIN_CLASSES);
    }

    /** All packages are layers in one order; layers that do not exist yet are optional. */
    @Test
    void packagesDependOnLowerLayersOnly() {
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("passhatch..")
                .withOptionalLayers(true)
                .layer("cli")
                .definedBy("passhatch.cli..")
                .layer("lab")
                .definedBy("passhatch.lab..")
                .layer("agent")
                .definedBy("passhatch.agent..")
                .layer("release")
                .definedBy("passhatch.release..")
                .layer("distribution")
                .definedBy("passhatch.distribution..")
                .layer("duty")
                .definedBy("passhatch.duty..")
                .layer("fleet")
                .definedBy("passhatch.fleet..")
                .layer("store")
                .definedBy("passhatch.store..")
                .layer("proxy")
                .definedBy("passhatch.proxy..")
                .layer("adapter")
                .definedBy("passhatch.adapter..")
                .layer("module")
                .definedBy("passhatch")
                .whereLayer("lab")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("cli")
                .mayOnlyBeAccessedByLayers("lab")
                .whereLayer("agent")
                .mayOnlyBeAccessedByLayers("cli", "lab")
                .whereLayer("release")
                .mayOnlyBeAccessedByLayers("cli", "lab", "agent")
                .whereLayer("distribution")
                .mayOnlyBeAccessedByLayers("cli", "lab", "agent", "release")
                .whereLayer("duty")
                .mayOnlyBeAccessedByLayers("cli", "lab", "agent", "release")
                .whereLayer("fleet")
                .mayOnlyBeAccessedByLayers("cli", "lab", "agent", "release", "distribution", "duty")
                .whereLayer("store")
                .mayOnlyBeAccessedByLayers(
                        "cli", "lab", "agent", "release", "duty", "fleet", "proxy")
                .whereLayer("proxy")
                .mayOnlyBeAccessedByLayers("cli", "lab", "agent")
                .whereLayer("adapter")
                .mayOnlyBeAccessedByLayers("cli")
                .check(MAIN_CLASSES);
    }

    /** The decision module uses no sockets, no files and no other package. */
    @Test
    void theBalancerDependsOnNoOtherPackageAndDoesNoIo() {
        noClasses()
                .that()
                .resideInAPackage("passhatch")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "passhatch.*..", "io.netty..", "java.net..", "java.nio..", "java.io..")
                .check(MAIN_CLASSES);
    }
}
