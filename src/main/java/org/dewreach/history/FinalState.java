package org.dewreach.history;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.store.CommitQueue;
import org.dewreach.wire.JobState;
import org.dewreach.wire.MalformedException;

/**
 * How a job ended, as its final record in the state service has it.
 *
 * @param jobState done or cancelled
 * @param done how many of its tasks were done
 */
public record FinalState(JobState jobState, int done) {
  private static final String STATE_FIELD = "standing";
  private static final String DONE_FIELD = "done";

  /** The value of the final record. */
  public ObjectNode encode() {
    return CommitQueue.value().put(STATE_FIELD, jobState.word()).put(DONE_FIELD, done);
  }

  /**
   * Reads the value of a final record.
   *
   * @throws MalformedException if it names no state of a job
   */
  public static FinalState decode(JsonNode value) throws MalformedException {
    JobState jobState = JobState.of(value.path(STATE_FIELD).asText());
    return new FinalState(jobState, value.path(DONE_FIELD).asInt());
  }
}
