package org.dewreach.store;

import java.util.List;

/**
 * Changes since the revision from which a watch was opened.
 *
 * @param events in the order of their revisions; empty if nothing changed while the store waited
 * @param storeRevision the revision from which the next watch continues
 */
public record WatchBatch(List<WatchEvent> events, long storeRevision) implements WatchResult {
  /** Returns the entries that were put, in order, without deletions. */
  public List<KeyValue> puts() {
    return events.stream()
        .filter(event -> event.type() == WatchEvent.Type.PUT)
        .map(WatchEvent::entry)
        .toList();
  }
}
