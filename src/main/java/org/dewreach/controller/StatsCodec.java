package org.dewreach.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.dewreach.request.ConcurrencyStats;
import org.dewreach.request.RetryReason;
import org.dewreach.request.UserRequestStats;
import org.dewreach.wire.Codec;

/** Encodes the statistics of a controller for operators. */
final class StatsCodec {
  private StatsCodec() {}

  static ObjectNode encode(ControllerStats stats) {
    ObjectNode map = Codec.map().put("node", stats.name()).put("leader", stats.leader());
    map.put("election", stats.election().name()).put("term", stats.term());
    map.put("open_calls", stats.openCalls());
    putUserRequests(map, stats.userRequests());
    map.put("final_states", stats.finalStates());
    map.put("final_states_revision", stats.finalStatesRevision());
    if (stats.termStats() != null) {
      putTerm(map.putObject("fleet"), stats.termStats());
    }
    return map;
  }

  private static void putUserRequests(ObjectNode map, UserRequestStats stats) {
    putConcurrency(map.putObject("users"), stats.changes());
    putConcurrency(map.putObject("questions"), stats.queries());
    ObjectNode retries = map.putObject("retries");
    for (Map.Entry<RetryReason, Long> count : stats.retries().entrySet()) {
      retries.put(count.getKey().label(), count.getValue());
    }
  }

  private static void putConcurrency(ObjectNode map, ConcurrencyStats stats) {
    map.put("in_progress", stats.inProgress()).put("limit", stats.limit());
    map.put("answered", stats.answered());
    map.put("turned_away", stats.toldToRetry()).put("shed", stats.shed());
    map.put("p50_us", stats.p50Micros());
    map.put("p99_us", stats.p99Micros());
    map.put("max_us", stats.maxMicros());
  }

  private static void putTerm(ObjectNode map, TermStats stats) {
    map.put("phase", stats.phase().name());
    map.put("jobs", stats.jobs()).put("machines", stats.machines());
    map.put("tasks_bound", stats.tasksBound()).put("tasks_waiting", stats.tasksWaiting());
    map.put("writes_queued", stats.writesQueued());
  }
}
