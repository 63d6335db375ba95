package org.dewreach.store;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One put or delete of a transaction.
 *
 * @param value the new value, or null to delete the key
 */
public record Mutation(String key, ObjectNode value) {
  /** Creates or overwrites the key. */
  public static Mutation put(String key, ObjectNode value) {
    return new Mutation(key, value);
  }

  /** Deletes the key. */
  public static Mutation delete(String key) {
    return new Mutation(key, null);
  }

  /** True if it deletes the key. */
  public boolean isDelete() {
    return value == null;
  }
}
