package org.dewreach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
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

  /**
   * Packages do not depend on each other in a circle.
   *
   * <p>The one group listed is known: a task refers to its job and its machine, which list their
   * tasks. It has to shrink, never to grow.
   */
  @Test
  void packagesHaveNoCyclesButTheKnownOne() throws IOException {
    Map<String, Set<String>> reachable = dependencies();
    // The transitive closure: with few packages the plain way is fast enough.
    for (String via : reachable.keySet()) {
      for (Set<String> targets : reachable.values()) {
        if (targets.contains(via)) {
          targets.addAll(reachable.get(via));
        }
      }
    }
    Set<Set<String>> cycles = new HashSet<>();
    for (String name : reachable.keySet()) {
      Set<String> cycle = new TreeSet<>();
      for (String other : reachable.get(name)) {
        if (reachable.get(other).contains(name)) {
          cycle.add(other);
        }
      }
      if (!cycle.isEmpty()) {
        cycles.add(cycle);
      }
    }
    assertEquals(Set.of(Set.of("job", "machine", "task")), cycles);
  }

  /** For each package the other packages that its sources name, in imports or in full. */
  private static Map<String, Set<String>> dependencies() throws IOException {
    Map<String, Set<String>> dependencies = new TreeMap<>();
    for (Path source : sources("")) {
      String own = ROOT.relativize(source).getName(0).toString();
      Set<String> targets = dependencies.computeIfAbsent(own, name -> new TreeSet<>());
      Matcher matcher = OWN.matcher(Files.readString(source));
      while (matcher.find()) {
        if (!matcher.group(1).equals(own)) {
          targets.add(matcher.group(1));
        }
      }
    }
    return dependencies;
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "controller",
        "leadership",
        "store",
        "history",
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
