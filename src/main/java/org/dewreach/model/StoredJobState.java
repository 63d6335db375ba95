package org.dewreach.model;

import java.util.BitSet;
import org.dewreach.wire.JobState;

/**
 * The leader's knowledge of a job's record in the key-value store: its revision, the completed
 * tasks that it contains, and when progress was last written to it.
 */
public final class StoredJobState {
  private long revision;
  private long progressWrittenAt;
  private BitSet doneTasks = new BitSet();
  private JobState leaderlessState;

  StoredJobState() {}

  /** Returns the revision of the job's record, which is the precondition of the next write. */
  public long revision() {
    return revision;
  }

  /** Sets the revision of the job's record. */
  public void revision(long newRevision) {
    revision = newRevision;
  }

  /**
   * Returns the state in the record of a job that was accepted without a leader, as it was read for
   * the job's import; null for any other job.
   */
  public JobState leaderlessState() {
    return leaderlessState;
  }

  /** Sets the state in the record of a job that was accepted without a leader. */
  public void leaderlessState(JobState read) {
    leaderlessState = read;
  }

  /** Returns when a write that contains the job's progress was last issued. */
  public long progressWrittenAt() {
    return progressWrittenAt;
  }

  /** Sets when a write that contains the job's progress was last issued. */
  public void progressWrittenAt(long micros) {
    progressWrittenAt = micros;
  }

  /**
   * Returns the completed tasks that the job's record contains, and that a new leader would
   * therefore load.
   */
  public BitSet doneTasks() {
    return doneTasks;
  }

  /** Sets the completed tasks that the job's record contains. */
  public void doneTasks(BitSet written) {
    doneTasks = written;
  }
}
