package org.vanillacove.daemon;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks that modules depend only on the layers below them. */
class LayersTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.vanillacove");

  @Test
  void layersDependOnlyDownwards() {
    layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .withOptionalLayers(true)
        .layer("state")
        .definedBy("org.vanillacove.state..")
        .layer("protocol")
        .definedBy("org.vanillacove.protocol..")
        .layer("standin")
        .definedBy("org.vanillacove.standin..")
        .layer("coordination")
        .definedBy("org.vanillacove.coordination..")
        .layer("transport")
        .definedBy("org.vanillacove.transport..")
        .layer("daemon")
        .definedBy("org.vanillacove.daemon..")
        .whereLayer("daemon")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("transport")
        .mayOnlyBeAccessedByLayers("daemon")
        .whereLayer("coordination")
        .mayOnlyBeAccessedByLayers("transport", "daemon")
        .whereLayer("standin")
        .mayOnlyBeAccessedByLayers("daemon")
        .whereLayer("protocol")
        .mayOnlyBeAccessedByLayers("standin", "coordination", "transport", "daemon")
        .check(CLASSES);
  }
}
