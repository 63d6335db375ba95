package org.dewreach.request;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;

/** Counts, by reason, how often users were told to retry since the process started. */
final class RetryCounts {
  private final Map<RetryReason, Long> counts = new EnumMap<>(RetryReason.class);

  RetryCounts() {
    for (RetryReason reason : RetryReason.values()) {
      counts.put(reason, 0L);
    }
  }

  void add(RetryReason reason) {
    counts.merge(reason, 1L, Long::sum);
  }

  /** Returns the reasons that occurred, with their counts, as {@code key=value} pairs. */
  String summary() {
    return counts.entrySet().stream()
        .filter(entry -> entry.getValue() > 0)
        .map(entry -> entry.getKey().label() + "=" + entry.getValue())
        .collect(Collectors.joining(" "));
  }

  /** Returns the counts of all reasons, in the order of the enum. */
  Map<RetryReason, Long> snapshot() {
    return new EnumMap<>(counts);
  }
}
