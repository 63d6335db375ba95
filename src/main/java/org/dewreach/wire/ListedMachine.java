package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;

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

  /** Parses one entry of the list. */
  public static ListedMachine parse(JsonNode entry) throws MalformedException {
    String state = Fields.text(entry, "standing");
    String address = Fields.textOrNull(entry, "address");
    return new ListedMachine(
        Fields.text(entry, "uid"),
        address == null ? "" : address,
        Fields.text(entry, "build"),
        Fields.text(entry, "site"),
        Fields.flag(entry, "loaners"),
        state.equals("failed"),
        Fields.micros(entry, "age_s"));
  }
}
