package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import org.dewreach.store.CommitQueue;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MalformedException;

/**
 * Stored form of a job that was accepted without a leader, until the leader imports it: a {@link
 * JobRecord} with the id of the write, which makes each write's value unique.
 */
public final class LeaderlessJobRecord {
  private LeaderlessJobRecord() {}

  /**
   * The value to store.
   *
   * @param writeId unique among all writes
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
   * @throws MalformedException if the job's spec in it cannot be read
   */
  public static JobRecord decode(JsonNode value) throws MalformedException {
    return JobRecord.decode(value);
  }

  /** Whether the job was cancelled, which can be read even if its spec cannot. */
  public static boolean isCancelled(JsonNode value) {
    return JobRecord.isCancelled(value);
  }
}
