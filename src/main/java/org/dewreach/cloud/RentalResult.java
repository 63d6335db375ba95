package org.dewreach.cloud;

import java.util.List;

/** The outcome of a rental request. */
public sealed interface RentalResult {
  /**
   * Machines were rented.
   *
   * @param machines their names, possibly fewer than were requested
   */
  record Rented(List<String> machines) implements RentalResult {}

  /**
   * No machine was rented, for lack of capacity or because the cloud rejected the request.
   *
   * @param status the HTTP status
   */
  record Refused(int status) implements RentalResult {}

  /**
   * It is not known whether machines were rented, or the cloud cannot serve the request at present:
   * the same request must be repeated with the same name.
   *
   * @param status the HTTP status, or 0 if no response came
   */
  record Inconclusive(int status) implements RentalResult {}
}
