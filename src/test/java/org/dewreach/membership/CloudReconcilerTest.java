package org.dewreach.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.autoscaling.ScaleInExecutor;
import org.dewreach.config.Settings;
import org.dewreach.controller.SettingsFixture;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.port.Effect;
import org.dewreach.state.MachineRegistry;
import org.dewreach.testing.CloudFixture;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.wire.Codec;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.Test;

/** What follows from the cloud's list of machines: {@link CloudReconciler}. */
class CloudReconcilerTest {
  private static final long S = 1_000_000;
  private static final Settings SETTINGS = SettingsFixture.oneNode();
  private static final MachineType TYPE = ClusterFixture.type("box", 8, 32, 0);

  private final CloudFixture cloud = new CloudFixture(TYPE);
  private final ClusterFixture cluster = new ClusterFixture(SETTINGS.teams());
  private final MachineRegistry registry = new MachineRegistry(null, 8192, 0, null);
  private final ScaleInExecutor scaleIn =
      new ScaleInExecutor(cluster.state(), registry, cloud.cloud());
  private final CloudReconciler reconciler =
      new CloudReconciler(
          cluster.state(), registry, cloud.cloud(), cloud.catalog(), SETTINGS, scaleIn);

  private static ObjectNode page(boolean more, String... machines) {
    ObjectNode body = Codec.map().put("more", more);
    body.putArray("hosts");
    for (String machine : machines) {
      add(body, machine, "box", "running");
    }
    return body;
  }

  private static void add(ObjectNode page, String machine, String type, String standing) {
    ObjectNode item = page.withArray("hosts").addObject().put("uid", machine).put("build", type);
    item.put("site", "a").put("loaners", false).put("standing", standing).put("age_s", 20);
  }

  private Effect.Call list(long nowMicros) {
    reconciler.reconcile(nowMicros);
    List<Effect.Call> calls = cloud.calls();
    assertEquals(1, calls.size());
    return calls.get(0);
  }

  @Test
  void pagesAreReadUntilNoneFollows() {
    cloud.reply(S, list(S), 200, page(true, "vm-1", "vm-2"));
    List<Effect.Call> calls = cloud.calls();
    assertEquals("/rentals?after=vm-2&most=500", calls.get(0).path());
    cloud.reply(S, calls.get(0), 200, page(false, "vm-3"));
    assertEquals(List.of(), cloud.calls());
    assertEquals(3, cluster.state().machines().size());
  }

  @Test
  void theListIsReadEachFiveSecondsAndNotTwiceAtOnce() {
    Effect.Call call = list(S);
    reconciler.reconcile(20 * S);
    assertEquals(List.of(), cloud.calls(), "one is in flight");
    cloud.reply(2 * S, call, 503, null);
    reconciler.reconcile(6 * S - 1);
    assertEquals(List.of(), cloud.calls());
    list(6 * S);
  }

  @Test
  void anUnknownMachineIsAddedWithItsAge() {
    cloud.reply(30 * S, list(30 * S), 200, page(false, "vm-1"));
    Machine machine = cluster.state().machines().get("vm-1");
    assertEquals(MachinePhase.BOOTING, machine.phase());
    assertEquals(10 * S, machine.knownSince());
  }

  @Test
  void aMachineOfAnUnknownTypeIsLeftAlone() {
    ObjectNode body = page(false);
    add(body, "vm-1", "crate", "running");
    cloud.reply(S, list(S), 200, body);
    assertTrue(cluster.state().machines().isEmpty());
  }

  @Test
  void aFailedMachineIsReleasedAndNotAddedAgain() {
    cluster.add(ClusterFixture.newUpMachine("vm-1", TYPE, false));
    ObjectNode body = page(false);
    add(body, "vm-1", "box", "failed");
    cloud.reply(S, list(S), 200, body);
    assertEquals(MachinePhase.TERMINATING, cluster.state().machines().get("vm-1").phase());
    scaleIn.releaseMarked(2 * S);
    cloud.reply(2 * S, cloud.calls().get(0), 200, Codec.map());
    assertTrue(scaleIn.isReleased("vm-1"));
    cloud.reply(7 * S, list(7 * S), 200, body);
    assertFalse(cluster.state().machines().containsKey("vm-1"), "the list lags behind");
  }

  @Test
  void aListThatCannotBeDecodedChangesNothing() {
    cloud.reply(S, list(S), 200, Codec.map());
    assertTrue(cluster.state().machines().isEmpty());
    list(6 * S);
  }
}
