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

/** For how long recovery has been open over several terms: {@link RecoveryDurationTracker}. */
class RecoveryDurationTrackerTest {
  private static final long S = 1_000_000;

  /** Time of day less event time. */
  private static final long WALL = 1_000 * S;

  private final KeyValueStoreFixture fixture = new KeyValueStoreFixture();
  private final CommitQueue queue =
      new CommitQueue(
          fixture.store(),
          new Precondition(Keys.LEADER, ClusterFixture.TERM),
          24,
          new TokenBucket(100, 100),
          () -> {});
  private final RecoveryDurationTracker clock =
      new RecoveryDurationTracker(fixture.store(), queue, WALL);

  /** A term begins at time 0, and finds what an earlier one noted at these event times. */
  private void beginWith(long since, long lastOpen) {
    clock.recordOpen(0, 0);
    JsonNode value = Codec.map().put("since", since + WALL).put("open", lastOpen + WALL);
    JsonNode entry =
        Codec.map().put("path", Keys.RECOVERY).put("stamp", 70).put("hold", 0).set("data", value);
    fixture.reply(fixture.onlyRequest("/keys/dw/recovery"), 200, entry, 0);
  }

  private void beginWithNothing() {
    clock.recordOpen(0, 0);
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
  void aRecoveryThatIsNotHeldUpCostsNothing() {
    clock.recordFinished(3 * S);
    assertNoRequest();
    assertEquals(0, clock.openMicros(3 * S));
  }

  @Test
  void oneThatIsHeldUpIsNotedAndNotedAgain() {
    beginWithNothing();
    clock.recordOpen(0, 3 * S);
    JsonNode noted = onlyChange();
    assertEquals(Keys.RECOVERY, noted.get("put").textValue());
    assertEquals(WALL, noted.get("data").get("since").longValue());
    assertEquals(WALL + 3 * S, noted.get("data").get("open").longValue());
    clock.recordOpen(0, 13 * S - 1);
    assertNoRequest();
    clock.recordOpen(0, 13 * S);
    JsonNode again = onlyChange();
    assertEquals(WALL, again.get("data").get("since").longValue());
    assertEquals(WALL + 13 * S, again.get("data").get("open").longValue());
  }

  @Test
  void theNextTermGoesOnCounting() {
    beginWith(-50 * S, -8 * S);
    assertEquals(52 * S, clock.openMicros(2 * S));
    clock.recordOpen(0, 3 * S);
    assertEquals(WALL - 50 * S, onlyChange().get("data").get("since").longValue());
  }

  @Test
  void theTermThatFinishesRemovesIt() {
    beginWith(-50 * S, -8 * S);
    clock.recordFinished(S);
    assertEquals(Keys.RECOVERY, onlyChange().get("remove").textValue());
    assertEquals(0, clock.openMicros(2 * S));
    clock.recordFinished(2 * S);
    assertNoRequest();
  }

  @Test
  void whatWasLeftBehindLongAgoDoesNotCount() {
    beginWith(-500 * S, -45 * S);
    assertEquals(0, clock.openMicros(S));
    clock.recordOpen(0, 3 * S);
    assertEquals(WALL, onlyChange().get("data").get("since").longValue());
  }

  @Test
  void aFailedReadIsRepeated() {
    clock.recordOpen(0, 0);
    fixture.reply(fixture.onlyRequest(), 503, null, 0);
    clock.recordOpen(0, S - 1);
    assertNoRequest();
    clock.recordOpen(0, S);
    assertTrue(fixture.onlyRequest().path().endsWith(Keys.RECOVERY));
  }
}
