package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;

/** Receives the response to a simulated request. */
@FunctionalInterface
interface Reply {
  /** Delivers the response; its status is 0 if the connection was refused or the call timed out. */
  void send(int status, JsonNode body);
}
