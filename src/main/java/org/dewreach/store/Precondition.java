package org.dewreach.store;

/**
 * The revision that a key must have for a transaction to be executed.
 *
 * @param revision the revision of the key's last write, or 0 if the key must not exist
 */
public record Precondition(String key, long revision) {
  /** Returns the precondition that the key does not exist. */
  public static Precondition absent(String key) {
    return new Precondition(key, 0);
  }

  /** Returns the precondition that the key has not been written since the given revision. */
  public static Precondition unchanged(String key, long revision) {
    return new Precondition(key, revision);
  }
}
