package org.dewreach.store;

/** Outcome of reading one key. */
public sealed interface ReadResult permits KeyValue, ReadResult.Absent, RequestFailure {
  /**
   * The key does not exist.
   *
   * @param storeRevision the store's revision at which it did not exist
   */
  record Absent(long storeRevision) implements ReadResult {}
}
