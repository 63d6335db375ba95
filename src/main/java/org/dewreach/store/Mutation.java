package org.dewreach.store;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One put or delete of a transaction.
 *
 * @param value the new value, or null to delete the key
 */
public record Mutation(String key, ObjectNode value) {
  /** Returns a mutation that creates or overwrites the key. */
  public static Mutation put(String key, ObjectNode value) {
    return new Mutation(key, value);
  }

  /** Returns a mutation that deletes the key. */
  public static Mutation delete(String key) {
    return new Mutation(key, null);
  }

  /** True if the mutation deletes the key. */
  public boolean isDelete() {
    return value == null;
  }
}
