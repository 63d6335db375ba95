package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One entry of the cloud's list of machines ({@code GET /rentals}). The list lags behind the actual
 * machines, and a list that is read later may describe an earlier time.
 *
 * @param name the machine's unique name
 * @param address the address at which its worker receives commands; empty while it is not known
 * @param type the name of its machine type
 * @param zone the machine's zone
 * @param spot true for a spot machine, which the cloud may reclaim
 * @param failed true if the machine has stopped by itself
 * @param ageMicros time since the machine was rented, at the time that the list describes
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
