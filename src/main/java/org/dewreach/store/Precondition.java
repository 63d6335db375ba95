package org.dewreach.store;

/** A key's expected stamp; 0 if it must not exist. */
public record Precondition(String key, long stamp) {}
