package org.dewreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.dewreach.port.Effect;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.Keys;
import org.dewreach.store.Precondition;
import org.dewreach.store.TokenBucket;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.KeyValueStoreFixture;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.Test;

/**
 * Tests for how long recovery counts as open over several terms: {@link RecoveryDurationTracker}.
 */
class RecoveryDurationTrackerTest {
  private static final long S = 1_000_000;

  /** Wall-clock time minus event loop time. */
  private static final long WALL_OFFSET = 1_000 * S;

  private final KeyValueStoreFixture fixture = new KeyValueStoreFixture();
  private final CommitQueue queue =
      new CommitQueue(
          fixture.store(),
          new Precondition(Keys.LEADER, ClusterFixture.TERM),
          24,
          new TokenBucket(100, 100),
          () -> {});
  private final RecoveryDurationTracker tracker =
      new RecoveryDurationTracker(fixture.store(), queue, WALL_OFFSET);

  /**
   * Begins a term at time 0 that reads the record of an earlier term, with the given event loop
   * times.
   */
  private void beginWith(long since, long lastOpen) {
    tracker.recordOpen(0, 0);
    JsonNode value =
        Codec.map().put("since", since + WALL_OFFSET).put("open", lastOpen + WALL_OFFSET);
    JsonNode entry =
        Codec.map().put("path", Keys.RECOVERY).put("stamp", 70).put("hold", 0).set("data", value);
    fixture.reply(fixture.onlyRequest("/keys/dw/recovery"), 200, entry, 0);
  }

  private void beginWithNothing() {
    tracker.recordOpen(0, 0);
    fixture.reply(fixture.onlyRequest(), 404, Codec.map().put("ledger_rev", 80), 0);
  }

  private JsonNode onlyChange() {
    Effect.Call commit = fixture.onlyRequest("/commit");
    fixture.commit(commit, 90, 5 * S);
    return commit.body().get("then").get(0);
  }

  private void assertNoRequest() {
    assertEquals(List.of(), fixture.requests());
  }

  @Test
  void aRecoveryThatIsNotHeldUpNeitherReadsNorWrites() {
    tracker.recordFinished(3 * S);
    assertNoRequest();
    assertEquals(0, tracker.openMicros(3 * S));
  }

  @Test
  void aRecoveryThatIsHeldUpIsRecordedPeriodically() {
    beginWithNothing();
    tracker.recordOpen(0, 3 * S);
    JsonNode first = onlyChange();
    assertEquals(Keys.RECOVERY, first.get("put").textValue());
    assertEquals(WALL_OFFSET, first.get("data").get("since").longValue());
    assertEquals(WALL_OFFSET + 3 * S, first.get("data").get("open").longValue());
    tracker.recordOpen(0, 13 * S - 1);
    assertNoRequest();
    tracker.recordOpen(0, 13 * S);
    JsonNode second = onlyChange();
    assertEquals(WALL_OFFSET, second.get("data").get("since").longValue());
    assertEquals(WALL_OFFSET + 13 * S, second.get("data").get("open").longValue());
  }

  @Test
  void theNextTermContinuesTheCount() {
    beginWith(-50 * S, -8 * S);
    assertEquals(52 * S, tracker.openMicros(2 * S));
    tracker.recordOpen(0, 3 * S);
    assertEquals(WALL_OFFSET - 50 * S, onlyChange().get("data").get("since").longValue());
  }

  @Test
  void theTermThatFinishesRecoveryRemovesTheRecord() {
    beginWith(-50 * S, -8 * S);
    tracker.recordFinished(S);
    assertEquals(Keys.RECOVERY, onlyChange().get("remove").textValue());
    assertEquals(0, tracker.openMicros(2 * S));
    tracker.recordFinished(2 * S);
    assertNoRequest();
  }

  @Test
  void aStaleRecordIsIgnored() {
    beginWith(-500 * S, -45 * S);
    assertEquals(0, tracker.openMicros(S));
    tracker.recordOpen(0, 3 * S);
    assertEquals(WALL_OFFSET, onlyChange().get("data").get("since").longValue());
  }

  @Test
  void aFailedReadIsRetried() {
    tracker.recordOpen(0, 0);
    fixture.reply(fixture.onlyRequest(), 503, null, 0);
    tracker.recordOpen(0, S - 1);
    assertNoRequest();
    tracker.recordOpen(0, S);
    assertTrue(fixture.onlyRequest().path().endsWith(Keys.RECOVERY));
  }
}
