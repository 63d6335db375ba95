package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * One entry of the cloud's list of machines (`GET /rentals`). The list lags behind, and a later one
 * may be older than an earlier one.
 *
 * @param name the machine's unique name
 * @param address where its worker takes commands; empty while that is not known
 * @param type the name of its machine type
 * @param zone the zone it is in
 * @param spot true if the cloud may take it away
 * @param failed true if it has stopped by itself
 * @param ageMicros time since it was rented, at the time that the list describes
 */
public record ListedMachine(
    String name,
    String address,
    String type,
    String zone,
    boolean spot,
    boolean failed,
    long ageMicros) {

  /**
   * A page of the list.
   *
   * @param more true if further pages follow
   */
  public record Page(List<ListedMachine> machines, boolean more) {}

  /** Parses one page of the list. */
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
              Fields.micros(item, "age_s")));
    }
    return new Page(machines, map.path("more").asBoolean(false));
  }
}
