package org.dewreach.store;

/**
 * Receives the outcome of a request to the key-value store.
 *
 * @param <T> the type of the outcome
 */
@FunctionalInterface
public interface ResultHandler<T> {
  /** Called exactly once per request. */
  void onResult(long nowMicros, T result);
}
