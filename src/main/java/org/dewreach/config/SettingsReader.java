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

/** Reads the settings file. Unknown fields are ignored; every known one is checked. */
public final class SettingsReader {
  private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");

  /** The highest port number of TCP. */
  private static final int MAX_PORT = 65_535;

  private SettingsReader() {}

  public static Settings read(Path file) throws SettingsException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new SettingsException(file + ": cannot be read");
    }
    return parse(text);
  }

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
        Math.round(cluster.number("time_bound_ms", 0, 3_600_000) * 1e3),
        teams(cluster),
        objectives(cluster),
        workers(cluster.section("workers")),
        state(cluster.section("state")),
        cloud(cluster.section("cloud")),
        limits(cluster.section("machine_limits")));
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
        throw item.wrong("host_name", "named twice");
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
              item.number("cpus", 0, 1e9),
              orNone(item.number("cpus_max", 0, 1e9)),
              item.number("gpus", 0, 1e9),
              orNone(item.number("gpus_max", 0, 1e9)));
      if (teams.put(name, team) != null) {
        throw item.wrong("name", "named twice");
      }
    }
    return Map.copyOf(teams);
  }

  private static double orNone(double limit) {
    return limit == 0 ? Double.POSITIVE_INFINITY : limit;
  }

  private static List<Settings.Objective> objectives(Section cluster) throws SettingsException {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (Section item : cluster.sections("objectives")) {
      objectives.add(
          new Settings.Objective(
              item.text("kind"),
              item.has("class") ? item.text("class") : null,
              item.has("within_s") ? item.micros("within_s", 0, 1e6) : 0,
              item.has("share") ? item.number("share", 0, 1) : 0,
              item.has("times") ? item.number("times", 0, 1e6) : 0));
    }
    return List.copyOf(objectives);
  }

  private static Settings.Workers workers(Section section) throws SettingsException {
    Settings.Workers workers =
        new Settings.Workers(
            section.micros("report_s", 0.01, 3600),
            section.micros("lease_s", 0.1, 3600),
            section.micros("cancel_s", 0.1, 36_000));
    if (workers.leaseMicros() <= workers.reportMicros()) {
      throw section.wrong("lease_s", "must be more than report_s");
    }
    return workers;
  }

  private static Settings.StateLimits state(Section section) throws SettingsException {
    return new Settings.StateLimits(
        section.number("rps", 1, 1e9),
        section.number("write_rps", 1, 1e9),
        (int) (section.number("value_kb", 1, 1e5) * 1024),
        (int) section.number("txn_ops", 1, 1e6));
  }

  private static Settings.CloudLimits cloud(Section section) throws SettingsException {
    return new Settings.CloudLimits(
        section.number("rps", 0.01, 1e9), section.micros("list_lag_s", 0, 3600));
  }

  private static Settings.Limits limits(Section section) throws SettingsException {
    return new Settings.Limits(
        section.number("cpu_share", 0.001, 1024),
        section.number("ram_mb", 1, 1e9),
        (int) section.number("max_connections", 16, 1e7));
  }

  /** A table of the file together with its path, which errors name. */
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

    SettingsException wrong(String name, String what) {
      return new SettingsException(full(name) + ": " + what);
    }

    private String full(String name) {
      return path.isEmpty() ? name : path + "." + name;
    }

    boolean has(String name) {
      return node.has(name);
    }

    private JsonNode need(String name) throws SettingsException {
      JsonNode value = node.get(name);
      if (value == null) {
        throw wrong(name, "missing");
      }
      return value;
    }

    Section section(String name) throws SettingsException {
      return new Section(full(name), need(name));
    }

    List<Section> sections(String name) throws SettingsException {
      List<Section> sections = new ArrayList<>();
      if (!node.has(name)) {
        return sections;
      }
      if (!(node.get(name) instanceof ArrayNode list)) {
        throw wrong(name, "list of tables expected");
      }
      for (JsonNode item : list) {
        sections.add(new Section(full(name) + "[" + sections.size() + "]", item));
      }
      return sections;
    }

    String text(String name) throws SettingsException {
      JsonNode value = need(name);
      if (!value.isTextual() || value.textValue().isEmpty()) {
        throw wrong(name, "text expected");
      }
      return value.textValue();
    }

    List<String> texts(String name) throws SettingsException {
      if (!(need(name) instanceof ArrayNode list)) {
        throw wrong(name, "list of texts expected");
      }
      List<String> texts = new ArrayList<>();
      for (JsonNode item : list) {
        if (!item.isTextual()) {
          throw wrong(name, "list of texts expected");
        }
        texts.add(item.textValue());
      }
      return List.copyOf(texts);
    }

    double number(String name, double least, double most) throws SettingsException {
      JsonNode value = need(name);
      if (!value.isNumber()) {
        throw wrong(name, "number expected");
      }
      double number = value.doubleValue();
      if (!(number >= least && number <= most)) {
        throw wrong(name, "must be between " + least + " and " + most);
      }
      return number;
    }

    long micros(String name, double leastS, double mostS) throws SettingsException {
      return Math.round(number(name, leastS, mostS) * 1e6);
    }

    Settings.Address address(String name) throws SettingsException {
      String text = text(name);
      int colon = text.lastIndexOf(':');
      if (colon > 0 && IPV4.matcher(text.substring(0, colon)).matches()) {
        int port = portOrZero(text.substring(colon + 1));
        if (port > 0 && port <= MAX_PORT) {
          return new Settings.Address(text.substring(0, colon), port);
        }
      }
      throw wrong(name, "IPv4 address with port expected");
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
