package org.dewreach.model;

import java.util.BitSet;

/** What the key-value store holds of a job. */
public final class StoredJobState {
  private long revision;
  private long progressWrittenAt;
  private BitSet doneTasks = new BitSet();

  StoredJobState() {}

  /** The record's revision, the precondition of the next write. */
  public long revision() {
    return revision;
  }

  /** Sets the record's revision. */
  public void revision(long newRevision) {
    revision = newRevision;
  }

  /** When progress was last written. */
  public long progressWrittenAt() {
    return progressWrittenAt;
  }

  /** Sets when progress was last written. */
  public void progressWrittenAt(long micros) {
    progressWrittenAt = micros;
  }

  /** The completed tasks that the record tells of, and so a new leader would know of. */
  public BitSet doneTasks() {
    return doneTasks;
  }

  /** Sets the completed tasks that the record tells of. */
  public void doneTasks(BitSet written) {
    doneTasks = written;
  }
}
