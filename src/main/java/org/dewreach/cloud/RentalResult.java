package org.dewreach.cloud;

import java.util.List;

/** Outcome of a rental request. */
public sealed interface RentalResult {
  /**
   * Machines were rented.
   *
   * @param machines their names, possibly fewer than were asked for
   */
  record Rented(List<String> machines) implements RentalResult {}

  /**
   * Nothing was rented, for lack of capacity or because the cloud does not accept the request.
   *
   * @param status the HTTP status
   */
  record Refused(int status) implements RentalResult {}

  /**
   * It is not known whether machines were rented, or the cloud cannot serve now: the same request
   * is to be repeated under the same name.
   *
   * @param status the HTTP status, or 0 if no response came
   */
  record Inconclusive(int status) implements RentalResult {}
}
