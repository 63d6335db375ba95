package org.dewreach.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads and validates the settings file. Unknown fields are ignored. */
public final class SettingsReader {
  private static final Pattern IPV4_PATTERN = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");

  /** The highest port number of TCP. */
  private static final int MAX_PORT = 65_535;

  private static final double MICROS_PER_MS = 1e3;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final int BYTES_PER_KB = 1024;

  // Bounds of plausible values; a number outside them is treated as a typing error.
  private static final double MAX_AMOUNT = 1e9;
  private static final double MAX_CLOCK_SKEW_MS = 3_600_000;
  private static final double MAX_OBJECTIVE_VALUE = 1e6;
  private static final double MAX_DURATION_S = 3600;
  private static final double MIN_HEARTBEAT_INTERVAL_S = 0.01;
  private static final double MIN_LEASE_S = 0.1;
  private static final double MIN_CANCELLATION_S = 0.1;
  private static final double MAX_CANCELLATION_S = 36_000;
  private static final double MAX_VALUE_KB = 1e5;
  private static final double MAX_TRANSACTION_OPS = 1e6;
  private static final double MIN_CLOUD_REQUESTS_PER_SECOND = 0.01;
  private static final double MIN_CPU_SHARE = 0.001;
  private static final double MAX_CPU_SHARE = 1024;
  private static final double MIN_CONNECTIONS = 16;
  private static final double MAX_CONNECTIONS = 1e7;

  private SettingsReader() {}

  /**
   * Reads and validates a file.
   *
   * @throws SettingsException if the file cannot be read or is invalid
   */
  public static Settings read(Path file) throws SettingsException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new SettingsException(file + ": cannot be read");
    }
    return parse(text);
  }

  /**
   * Parses and validates the text of a settings file.
   *
   * @throws SettingsException if the text is not TOML, or a field is missing, of the wrong type or
   *     out of range
   */
  public static Settings parse(String text) throws SettingsException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new SettingsException("not TOML: " + e.getOriginalMessage());
    }
    Section top = new Section("", root);
    Section external = top.section("external");
    Section cluster = top.section("cluster");
    String name = top.text("host_name");
    return new Settings(
        name,
        top.text("location"),
        top.address("client_listen"),
        top.address("internal_addr"),
        members(top, name),
        external.address("cloud"),
        external.address("state"),
        cluster.texts("zones"),
        Math.round(cluster.number("time_bound_ms", 0, MAX_CLOCK_SKEW_MS) * MICROS_PER_MS),
        teams(cluster),
        objectives(cluster),
        workers(cluster.section("workers")),
        storeLimits(cluster.section("state")),
        cloudLimits(cluster.section("cloud")),
        hostLimits(cluster.section("machine_limits")));
  }

  private static List<Settings.Member> members(Section top, String self) throws SettingsException {
    List<Settings.Member> members = new ArrayList<>();
    Set<String> names = new HashSet<>();
    names.add(self);
    for (Section item : top.sections("members")) {
      Settings.Member member =
          new Settings.Member(
              item.text("host_name"), item.text("location"), item.address("address"));
      if (!names.add(member.name())) {
        throw item.invalid("host_name", "duplicate name");
      }
      members.add(member);
    }
    return List.copyOf(members);
  }

  private static Map<String, Settings.Team> teams(Section cluster) throws SettingsException {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    for (Section item : cluster.sections("teams")) {
      String name = item.text("name");
      Settings.Team team =
          new Settings.Team(
              name,
              item.number("cpus", 0, MAX_AMOUNT),
              unlimitedIfZero(item.number("cpus_max", 0, MAX_AMOUNT)),
              item.number("gpus", 0, MAX_AMOUNT),
              unlimitedIfZero(item.number("gpus_max", 0, MAX_AMOUNT)));
      if (teams.put(name, team) != null) {
        throw item.invalid("name", "duplicate name");
      }
    }
    return Map.copyOf(teams);
  }

  private static double unlimitedIfZero(double limit) {
    return limit == 0 ? Double.POSITIVE_INFINITY : limit;
  }

  private static List<Settings.Objective> objectives(Section cluster) throws SettingsException {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (Section item : cluster.sections("objectives")) {
      objectives.add(
          new Settings.Objective(
              Settings.ObjectiveKind.of(item.text("kind")),
              item.has("class") ? item.text("class") : null,
              item.has("within_s") ? item.micros("within_s", 0, MAX_OBJECTIVE_VALUE) : 0,
              item.has("share") ? item.number("share", 0, 1) : 0,
              item.has("times") ? item.number("times", 0, MAX_OBJECTIVE_VALUE) : 0));
    }
    return List.copyOf(objectives);
  }

  private static Settings.WorkerSettings workers(Section section) throws SettingsException {
    Settings.WorkerSettings workers =
        new Settings.WorkerSettings(
            section.micros("report_s", MIN_HEARTBEAT_INTERVAL_S, MAX_DURATION_S),
            section.micros("lease_s", MIN_LEASE_S, MAX_DURATION_S),
            section.micros("cancel_s", MIN_CANCELLATION_S, MAX_CANCELLATION_S));
    if (workers.leaseMicros() <= workers.heartbeatIntervalMicros()) {
      throw section.invalid("lease_s", "must be more than report_s");
    }
    return workers;
  }

  private static Settings.StoreLimits storeLimits(Section section) throws SettingsException {
    double valueKb = section.number("value_kb", 1, MAX_VALUE_KB);
    if (section.has("next")) {
      Section announced = section.section("next");
      valueKb = Math.min(valueKb, announced.optionalNumber("value_kb", valueKb));
    }
    return new Settings.StoreLimits(
        section.number("rps", 1, MAX_AMOUNT),
        section.number("write_rps", 1, MAX_AMOUNT),
        (int) (valueKb * BYTES_PER_KB),
        (int) section.number("txn_ops", 1, MAX_TRANSACTION_OPS));
  }

  private static Settings.CloudLimits cloudLimits(Section section) throws SettingsException {
    return new Settings.CloudLimits(
        section.number("rps", MIN_CLOUD_REQUESTS_PER_SECOND, MAX_AMOUNT),
        section.micros("list_lag_s", 0, MAX_DURATION_S));
  }

  private static Settings.HostLimits hostLimits(Section section) throws SettingsException {
    return new Settings.HostLimits(
        section.number("cpu_share", MIN_CPU_SHARE, MAX_CPU_SHARE),
        section.number("ram_mb", 1, MAX_AMOUNT),
        (int) section.number("max_connections", MIN_CONNECTIONS, MAX_CONNECTIONS));
  }

  /** A table of the file with its path, which error messages contain. */
  private static final class Section {
    private final String path;
    private final ObjectNode node;

    Section(String path, JsonNode node) throws SettingsException {
      this.path = path;
      if (!(node instanceof ObjectNode object)) {
        throw new SettingsException(path + ": table expected");
      }
      this.node = object;
    }

    SettingsException invalid(String name, String problem) {
      return new SettingsException(pathOf(name) + ": " + problem);
    }

    private String pathOf(String name) {
      return path.isEmpty() ? name : path + "." + name;
    }

    boolean has(String name) {
      return node.has(name);
    }

    private JsonNode require(String name) throws SettingsException {
      JsonNode value = node.get(name);
      if (value == null) {
        throw invalid(name, "missing");
      }
      return value;
    }

    Section section(String name) throws SettingsException {
      return new Section(pathOf(name), require(name));
    }

    List<Section> sections(String name) throws SettingsException {
      List<Section> sections = new ArrayList<>();
      if (!node.has(name)) {
        return sections;
      }
      if (!(node.get(name) instanceof ArrayNode list)) {
        throw invalid(name, "list of tables expected");
      }
      for (JsonNode item : list) {
        sections.add(new Section(pathOf(name) + "[" + sections.size() + "]", item));
      }
      return sections;
    }

    String text(String name) throws SettingsException {
      JsonNode value = require(name);
      if (!value.isTextual() || value.textValue().isEmpty()) {
        throw invalid(name, "text expected");
      }
      return value.textValue();
    }

    List<String> texts(String name) throws SettingsException {
      if (!(require(name) instanceof ArrayNode list)) {
        throw invalid(name, "list of texts expected");
      }
      List<String> texts = new ArrayList<>();
      for (JsonNode item : list) {
        if (!item.isTextual()) {
          throw invalid(name, "list of texts expected");
        }
        texts.add(item.textValue());
      }
      return List.copyOf(texts);
    }

    double number(String name, double min, double max) throws SettingsException {
      JsonNode value = require(name);
      if (!value.isNumber()) {
        throw invalid(name, "number expected");
      }
      double number = value.doubleValue();
      if (!(number >= min && number <= max)) {
        throw invalid(name, "must be between " + min + " and " + max);
      }
      return number;
    }

    /** Returns the number with the name, which must not be negative, or the given one if absent. */
    double optionalNumber(String name, double ifAbsent) throws SettingsException {
      return has(name) ? number(name, 0, MAX_AMOUNT) : ifAbsent;
    }

    long micros(String name, double minS, double maxS) throws SettingsException {
      return Math.round(number(name, minS, maxS) * MICROS_PER_SECOND);
    }

    Settings.Address address(String name) throws SettingsException {
      String text = text(name);
      int colon = text.lastIndexOf(':');
      if (colon > 0 && IPV4_PATTERN.matcher(text.substring(0, colon)).matches()) {
        int port = portOrZero(text.substring(colon + 1));
        if (port > 0 && port <= MAX_PORT) {
          return new Settings.Address(text.substring(0, colon), port);
        }
      }
      throw invalid(name, "IPv4 address with port expected");
    }

    private static int portOrZero(String text) {
      try {
        return Integer.parseInt(text);
      } catch (NumberFormatException e) {
        return 0;
      }
    }
  }
}
