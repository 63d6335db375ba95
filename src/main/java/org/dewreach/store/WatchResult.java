package org.dewreach.store;

/** Outcome of a watch. */
public sealed interface WatchResult permits WatchBatch, WatchResult.Compacted, RequestFailure {
  /** The store no longer has all changes since the requested revision. */
  record Compacted() implements WatchResult {}
}
