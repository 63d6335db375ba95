package org.dewreach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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

/** Tests the dependencies between packages, and the absence of I/O in the core packages. */
class ArchitectureTest {
  private static final Path ROOT = Path.of("src", "main", "java", "org", "dewreach");
  private static final Pattern PROJECT_PACKAGE = Pattern.compile("org\\.dewreach\\.(\\w+)\\.");
  private static final Pattern IO_OR_NONDETERMINISM =
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
      Matcher matcher = PROJECT_PACKAGE.matcher(Files.readString(source));
      while (matcher.find()) {
        if (!matcher.group(1).equals("wire")) {
          found.add(source.getFileName() + " uses " + matcher.group(1));
        }
      }
    }
    assertEquals(List.of(), found);
  }

  private static Map.Entry<String, Set<String>> entry(String name, String... used) {
    return Map.entry(name, Set.of(used));
  }

  /** The packages that each package may use; a new dependency must be added here deliberately. */
  private static final Map<String, Set<String>> ALLOWED =
      Map.ofEntries(
          entry(
              "autoscaling",
              "cloud",
              "config",
              "model",
              "placement",
              "scheduling",
              "state",
              "wire"),
          entry("cli", "config", "controller", "net", "port", "script", "wire"),
          entry("cloud", "port", "store", "wire"),
          entry("config"),
          entry(
              "controller",
              "cloud",
              "config",
              "heartbeat",
              "history",
              "leadership",
              "membership",
              "model",
              "peer",
              "placement",
              "port",
              "request",
              "scheduling",
              "state",
              "store",
              "wire"),
          entry("heartbeat", "membership", "model", "port", "state", "wire"),
          entry("history", "store", "wire"),
          entry("leadership", "config", "peer", "port", "store", "wire"),
          entry(
              "membership",
              "autoscaling",
              "cloud",
              "config",
              "leadership",
              "model",
              "placement",
              "scheduling",
              "state",
              "wire"),
          entry("model", "config", "wire"),
          entry("net", "config", "controller", "peer", "port", "wire"),
          entry("peer", "wire"),
          entry("placement", "config", "model", "wire"),
          entry("port", "wire"),
          entry(
              "request",
              "config",
              "history",
              "leadership",
              "model",
              "peer",
              "port",
              "state",
              "store",
              "wire"),
          entry("scheduling", "config", "model", "placement", "state", "wire"),
          entry("script", "config"),
          entry("state", "cloud", "config", "history", "model", "placement", "store", "wire"),
          entry("store", "port", "wire"),
          entry("wire"));

  @Test
  void packagesUseOnlyAllowedPackages() throws IOException {
    assertEquals(new TreeMap<>(ALLOWED), dependencies());
  }

  @Test
  void packagesHaveNoCycles() throws IOException {
    Map<String, Set<String>> reachable = dependencies();
    // Computes the transitive closure; the simple algorithm is fast enough for few packages.
    for (String via : reachable.keySet()) {
      for (Set<String> targets : reachable.values()) {
        if (targets.contains(via)) {
          targets.addAll(reachable.get(via));
        }
      }
    }
    List<String> inCycles =
        reachable.entrySet().stream()
            .filter(entry -> entry.getValue().contains(entry.getKey()))
            .map(Map.Entry::getKey)
            .toList();
    assertEquals(List.of(), inCycles);
  }

  /** Returns for each package the others that its sources name, in imports or qualified names. */
  private static Map<String, Set<String>> dependencies() throws IOException {
    Map<String, Set<String>> dependencies = new TreeMap<>();
    for (Path source : sources("")) {
      String own = ROOT.relativize(source).getName(0).toString();
      Set<String> targets = dependencies.computeIfAbsent(own, name -> new TreeSet<>());
      Matcher matcher = PROJECT_PACKAGE.matcher(Files.readString(source));
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
        "state",
        "scheduling",
        "heartbeat",
        "autoscaling",
        "membership",
        "request",
        "leadership",
        "store",
        "history",
        "cloud",
        "model",
        "placement",
        "port"
      })
  void theCoreDoesNoIo(String directory) throws IOException {
    List<String> found = new ArrayList<>();
    for (Path source : sources(directory)) {
      Matcher matcher = IO_OR_NONDETERMINISM.matcher(Files.readString(source));
      if (matcher.find()) {
        found.add(source.getFileName() + " uses " + matcher.group());
      }
    }
    assertEquals(List.of(), found);
  }
}
