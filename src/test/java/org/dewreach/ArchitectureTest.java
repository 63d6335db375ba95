package org.dewreach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What may depend on what. */
class ArchitectureTest {
  private static final Path ROOT = Path.of("src", "main", "java", "org", "dewreach");
  private static final Pattern OWN = Pattern.compile("org\\.dewreach\\.(\\w+)\\.");
  private static final Pattern IO =
      Pattern.compile(
          "io\\.netty|java\\.net\\.|java\\.nio\\.|java\\.io\\.(?!IOException)|System\\.(nano|current)"
              + "|new Random\\(|Math\\.random|Thread\\.|ThreadLocalRandom|UUID");

  private static List<Path> sources(String directory) throws IOException {
    try (Stream<Path> files = Files.walk(ROOT.resolve(directory))) {
      List<Path> sources = files.filter(file -> file.toString().endsWith(".java")).toList();
      assertTrue(!sources.isEmpty(), "no sources in " + directory);
      return sources;
    }
  }

  @Test
  void wireDependsOnNoOtherPackage() throws IOException {
    List<String> found = new ArrayList<>();
    for (Path source : sources("wire")) {
      Matcher matcher = OWN.matcher(Files.readString(source));
      while (matcher.find()) {
        if (!matcher.group(1).equals("wire")) {
          found.add(source.getFileName() + " uses " + matcher.group(1));
        }
      }
    }
    assertEquals(List.of(), found);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "controller",
        "leadership",
        "store",
        "cloud",
        "job",
        "task",
        "machine",
        "placement",
        "fleet",
        "port"
      })
  void theCoreDoesNoIo(String directory) throws IOException {
    List<String> found = new ArrayList<>();
    for (Path source : sources(directory)) {
      Matcher matcher = IO.matcher(Files.readString(source));
      if (matcher.find()) {
        found.add(source.getFileName() + " uses " + matcher.group());
      }
    }
    assertEquals(List.of(), found);
  }
}
