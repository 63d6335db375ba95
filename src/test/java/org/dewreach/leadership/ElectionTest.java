package org.dewreach.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Random;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.store.KeyValueStore;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.Test;

/** Tests how a controller uses the leader that other controllers report. */
class ElectionTest {
  private static final long SECOND = 1_000_000;

  private final Outbox outbox = new Outbox();
  private final Election election =
      new Election(
          new KeyValueStore(outbox),
          outbox,
          List.of("n1", "n2"),
          "n0",
          "boot",
          new Random(1),
          new Election.Listener() {
            @Override
            public void onElected(long nowMicros, long term) {}

            @Override
            public void onSteppedDown(long nowMicros, long term) {}
          });

  /**
   * Guards against requests that are forwarded to a former leader because of another controller's
   * outdated hint.
   */
  @Test
  void aHintOfAnEarlierTermIsIgnored() {
    election.tick(SECOND);
    Effect.Call read = (Effect.Call) outbox.drain().get(0);
    var key = Codec.map().put("stamp", 40).put("hold", 3);
    key.putObject("data").put("name", "n1").put("boot", "other");
    outbox.reply(2 * SECOND, new Event.Reply(read.callId(), 200, key));
    assertEquals("n1", election.leader());
    election.onLeaderHint("n2", 39, 3 * SECOND);
    assertEquals("n1", election.leader());
    election.onLeaderHint("n2", 41, 4 * SECOND);
    assertEquals("n2", election.leader());
  }
}
