package org.dewreach.store;

/**
 * The revision at which a key must be for a transaction to be executed.
 *
 * @param revision the revision of the key's last write, or 0 if the key must not exist
 */
public record Precondition(String key, long revision) {
  /** The key must not exist. */
  public static Precondition absent(String key) {
    return new Precondition(key, 0);
  }

  /** The key must not have been written since the given revision. */
  public static Precondition unchanged(String key, long revision) {
    return new Precondition(key, revision);
  }
}
