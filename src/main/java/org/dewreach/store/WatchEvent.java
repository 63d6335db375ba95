package org.dewreach.store;

/**
 * One change that a watch reports.
 *
 * @param entry the key with its new value, which is missing for a deletion
 */
public record WatchEvent(Type type, KeyValue entry) {
  /** Kinds of changes. */
  public enum Type {
    /** The key was created or overwritten. */
    PUT,
    /** The key was deleted, or its lease expired. */
    DELETE
  }
}
