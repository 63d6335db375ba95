package org.dewreach.store;

/** Outcome of a watch. */
public sealed interface WatchResult permits WatchBatch, WatchResult.Compacted, RequestFailure {
  /** The store does not keep changes since the requested revision any more. */
  record Compacted() implements WatchResult {}
}
