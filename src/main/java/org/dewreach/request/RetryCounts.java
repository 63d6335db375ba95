package org.dewreach.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** How often users were told to come back, by reason, since the start of the process. */
final class RetryCounts {
  private final long[] counts = new long[RetryReason.values().length];

  void add(RetryReason reason) {
    counts[reason.ordinal()]++;
  }

  /** The reasons that occurred, with their counts. */
  String summary() {
    return Arrays.stream(RetryReason.values())
        .filter(reason -> counts[reason.ordinal()] > 0)
        .map(reason -> name(reason) + " " + counts[reason.ordinal()])
        .collect(Collectors.joining(", "));
  }

  void fill(ObjectNode node) {
    for (RetryReason reason : RetryReason.values()) {
      node.put(name(reason), counts[reason.ordinal()]);
    }
  }

  private static String name(RetryReason reason) {
    return reason.name().toLowerCase(Locale.ROOT);
  }
}
