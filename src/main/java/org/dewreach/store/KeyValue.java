package org.dewreach.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key with its value.
 *
 * @param value the stored value, as a tree
 * @param revision the revision at which the key was last written
 * @param leaseId the lease with which it was written, or 0
 */
public record KeyValue(String key, JsonNode value, long revision, long leaseId)
    implements ReadResult {}
