package org.dewreach.store;

/** Outcome of reading the keys that begin with a prefix. */
public sealed interface RangeResult permits RangePage, RequestFailure {}
