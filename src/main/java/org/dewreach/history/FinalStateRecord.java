package org.dewreach.history;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobState;
import org.dewreach.wire.MalformedException;

/** The stored form of a final state. */
public final class FinalStateRecord {
  private static final String STATE = "standing";
  private static final String DONE = "done";

  private FinalStateRecord() {}

  /** Returns the value to store. */
  public static ObjectNode encode(FinalState finalState) {
    return Codec.map().put(STATE, finalState.jobState().wireName()).put(DONE, finalState.done());
  }

  /**
   * Decodes a stored value.
   *
   * @throws MalformedException if it does not contain a valid job state
   */
  public static FinalState decode(JsonNode value) throws MalformedException {
    JobState jobState = JobState.of(value.path(STATE).asText());
    return new FinalState(jobState, value.path(DONE).asInt());
  }
}
