package org.dewreach.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumMap;
import java.util.Map;
import org.dewreach.leadership.ElectionState;
import org.dewreach.request.ConcurrencyStats;
import org.dewreach.request.RetryReason;
import org.dewreach.request.UserRequestStats;
import org.junit.jupiter.api.Test;

/** Tests the format of a controller's statistics, which operators' tools read. */
class StatsCodecTest {
  private static final ConcurrencyStats CHANGES = new ConcurrencyStats(1, 2, 3, 4, 5, 6, 7, 8);
  private static final ConcurrencyStats QUERIES = new ConcurrencyStats(0, 20, 0, 0, 0, 0, 0, 0);
  private static final String REQUESTS =
      "\"users\":{\"in_progress\":1,\"limit\":2,\"answered\":3,\"turned_away\":4,\"shed\":5,"
          + "\"p50_us\":6,\"p99_us\":7,\"max_us\":8},"
          + "\"questions\":{\"in_progress\":0,\"limit\":20,\"answered\":0,\"turned_away\":0,"
          + "\"shed\":0,\"p50_us\":0,\"p99_us\":0,\"max_us\":0},"
          + "\"retries\":{\"load_limit\":9,\"end_in_doubt\":1},";

  private static ControllerStats stats(String leader, ElectionState election, TermStats termStats) {
    Map<RetryReason, Long> retries = new EnumMap<>(RetryReason.class);
    retries.put(RetryReason.END_IN_DOUBT, 1L);
    retries.put(RetryReason.LOAD_LIMIT, 9L);
    UserRequestStats requests = new UserRequestStats(CHANGES, QUERIES, retries);
    long term = termStats == null ? 0 : 12;
    return new ControllerStats("n0", leader, election, term, 3, requests, 40, 41, termStats);
  }

  @Test
  void aLeaderReportsItsTerm() {
    TermStats termStats = new TermStats(LeadershipTerm.Phase.RECOVERING, 1, 2, 3, 4, 5);
    assertEquals(
        "{\"node\":\"n0\",\"leader\":\"n0\",\"election\":\"LEADING\",\"term\":12,\"open_calls\":3,"
            + REQUESTS
            + "\"final_states\":40,\"final_states_revision\":41,\"fleet\":{\"phase\":\"RECOVERING\","
            + "\"jobs\":1,\"machines\":2,\"tasks_bound\":3,\"tasks_waiting\":4,"
            + "\"writes_queued\":5}}",
        StatsCodec.encode(stats("n0", ElectionState.LEADING, termStats)).toString());
  }

  @Test
  void aFollowerWithoutALeaderHasNoTerm() {
    assertEquals(
        "{\"node\":\"n0\",\"leader\":null,\"election\":\"FOLLOWING\",\"term\":0,\"open_calls\":3,"
            + REQUESTS
            + "\"final_states\":40,\"final_states_revision\":41}",
        StatsCodec.encode(stats(null, ElectionState.FOLLOWING, null)).toString());
  }
}
