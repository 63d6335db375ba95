package org.dewreach.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.dewreach.request.ConcurrencyStats;
import org.dewreach.request.RetryReason;
import org.dewreach.request.UserRequestStats;

/** Encodes numbers for operators. */
final class StatsCodec {
  private StatsCodec() {}

  static void encode(UserRequestStats stats, ObjectNode map) {
    encode(stats.changes(), map.putObject("users"));
    encode(stats.queries(), map.putObject("questions"));
    ObjectNode retries = map.putObject("retries");
    for (Map.Entry<RetryReason, Long> entry : stats.retries().entrySet()) {
      retries.put(entry.getKey().label(), entry.getValue());
    }
  }

  private static void encode(ConcurrencyStats stats, ObjectNode map) {
    map.put("in_progress", stats.inProgress()).put("limit", stats.limit());
    map.put("answered", stats.answered());
    map.put("turned_away", stats.turnedAway()).put("shed", stats.shed());
    map.put("p50_us", stats.p50Micros());
    map.put("p99_us", stats.p99Micros());
    map.put("max_us", stats.maxMicros());
  }
}
