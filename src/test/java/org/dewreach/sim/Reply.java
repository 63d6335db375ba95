package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;

/** Where the response to a simulated request goes. */
@FunctionalInterface
interface Reply {
  /** Sends the response; the status is 0 if the connection was refused or the time was up. */
  void send(int status, JsonNode body);
}
