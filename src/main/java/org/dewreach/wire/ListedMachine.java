package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** One entry of the cloud's machine list (`GET /rentals`). The list may be older than the last. */
public record ListedMachine(
    String name,
    String address,
    String type,
    String zone,
    boolean spot,
    boolean failed,
    boolean booting,
    long ageMicros) {

  /** A page of the list. */
  public record Page(List<ListedMachine> machines, boolean more) {}

  public static Page parsePage(JsonNode body) throws MalformedException {
    ObjectNode map = Fields.map(body);
    if (!(map.get("hosts") instanceof ArrayNode list)) {
      throw new MalformedException("hosts: list expected");
    }
    List<ListedMachine> machines = new ArrayList<>(list.size());
    for (JsonNode item : list) {
      String state = Fields.text(item, "standing");
      String address = Fields.textOrNull(item, "address");
      machines.add(
          new ListedMachine(
              Fields.text(item, "uid"),
              address == null ? "" : address,
              Fields.text(item, "build"),
              Fields.text(item, "site"),
              Fields.flag(item, "loaners"),
              state.equals("failed"),
              state.equals("booting"),
              Fields.micros(item, "age_s")));
    }
    return new Page(machines, map.path("more").asBoolean(false));
  }
}
