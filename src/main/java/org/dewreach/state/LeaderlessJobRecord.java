package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import org.dewreach.store.CommitQueue;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MalformedException;

/**
 * The stored form of a job that was accepted without a leader, until a leader imports it: a {@link
 * JobRecord} with the id of the write, which makes the value of each write unique.
 */
public final class LeaderlessJobRecord {
  private LeaderlessJobRecord() {}

  /**
   * Returns the value to store.
   *
   * @param writeId an id that is unique among all writes
   */
  public static ObjectNode encode(
      JobSpec spec, long acceptedWallMicros, boolean cancelled, BitSet done, String writeId) {
    return new JobRecord(spec, acceptedWallMicros, cancelled, done)
        .encode()
        .put(CommitQueue.TRANSACTION_ID_FIELD, writeId);
  }

  /**
   * Decodes a stored value.
   *
   * @throws MalformedException if the job's specification in the value cannot be parsed
   */
  public static JobRecord decode(JsonNode value) throws MalformedException {
    return JobRecord.decode(value);
  }

  /**
   * True if the job was cancelled. This can be read even if the job's specification cannot be
   * parsed.
   */
  public static boolean isCancelled(JsonNode value) {
    return JobRecord.isCancelled(value);
  }
}
