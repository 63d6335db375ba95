package org.dewreach.cloud;

/** The outcome of releasing machines. */
public sealed interface ReleaseResult permits ReleaseResult.Released, CloudFailure {
  /** The machines were released, and all tasks on them have ended. */
  record Released() implements ReleaseResult {}
}
