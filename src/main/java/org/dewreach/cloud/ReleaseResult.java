package org.dewreach.cloud;

/** Outcome of a release of machines. */
public sealed interface ReleaseResult permits ReleaseResult.Released, CloudFailure {
  /** The machines and everything on them are gone. */
  record Released() implements ReleaseResult {}
}
