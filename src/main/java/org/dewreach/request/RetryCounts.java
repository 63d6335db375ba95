package org.dewreach.request;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;

/** How often users were told to retry, by reason, since the start of the process. */
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

  /** The reasons that occurred, with their counts. */
  String summary() {
    return counts.entrySet().stream()
        .filter(entry -> entry.getValue() > 0)
        .map(entry -> entry.getKey().label() + "=" + entry.getValue())
        .collect(Collectors.joining(" "));
  }

  /** The counts of all reasons, in the order of the reasons. */
  Map<RetryReason, Long> snapshot() {
    return new EnumMap<>(counts);
  }
}
