package org.dewreach.store;

import java.util.List;

/**
 * One page of the keys that begin with a prefix.
 *
 * @param entries in the order of their keys
 * @param storeRevision the store's revision at which the page was read
 * @param more true if another page follows the last entry of this one; never with an empty page
 */
public record RangePage(List<KeyValue> entries, long storeRevision, boolean more)
    implements RangeResult {}
