package org.dewreach.store;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One put or delete.
 *
 * @param data the new value, or null to delete
 */
public record Mutation(String key, ObjectNode data) {}
