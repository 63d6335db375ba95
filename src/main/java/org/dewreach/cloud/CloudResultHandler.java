package org.dewreach.cloud;

/**
 * Receives the outcome of a request to the cloud.
 *
 * @param <T> the type of the outcome
 */
@FunctionalInterface
public interface CloudResultHandler<T> {
  /** Called exactly once per request. */
  void onResult(long nowMicros, T result);
}
