package org.dewreach.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dewreach.cloud.CloudClient;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.controller.SettingsFixture;
import org.dewreach.leadership.LeadHandovers;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.leadership.PeerContacts;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.peer.ContactResponse;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValueStore;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.Test;

/** When a leader that hears hardly any worker gives up the lead: {@link HandoverPolicy}. */
class HandoverPolicyTest {
  private static final long S = 1_000_000;
  private static final long STEP = S / 4;
  private static final int MACHINES = 8;
  private static final MachineType TYPE = ClusterFixture.type("box", 8, 32, 0);

  /** Heartbeats come each second, leases last 40 s; there is one other controller. */
  private static final Settings SETTINGS = SettingsFixture.twoNodes(40 * S);

  private final Outbox outbox = new Outbox();
  private final CloudClient cloud = new CloudClient(outbox, 100);
  private final ClusterFixture cluster = new ClusterFixture(SETTINGS.teams());
  private final LeadHandovers handovers = new LeadHandovers();
  private final FleetManager fleet =
      new FleetManager(
          ClusterFixture.TERM,
          cluster.state(),
          new MachineRegistry(null, 8192, 0, null),
          new LeaseDelegations(ClusterFixture.TERM, SETTINGS, () -> Long.MIN_VALUE),
          cloud,
          new MachineTypeCatalog(new KeyValueStore(outbox), cloud),
          SETTINGS,
          Tuning.DEFAULT,
          0,
          0);
  private final HandoverPolicy policy =
      new HandoverPolicy(fleet, new PeerContacts(outbox, SETTINGS), handovers, SETTINGS);

  /** How many of the machines the other controller says it hears; it is silent if negative. */
  private int heardByOther = -1;

  private long now;

  private void machines(MachinePhase phase) {
    for (int i = 0; i < MACHINES; i++) {
      Machine machine = ClusterFixture.newMachine("m" + i, TYPE, false, MachinePhase.UNKNOWN);
      machine.become(phase, 0);
      cluster.add(machine);
    }
  }

  /** Plays until the time given, or until the lead is given up; true if it was. */
  private boolean givesUpUntil(long untilMicros) {
    for (; now <= untilMicros; now += STEP) {
      fleet.tick(now, List.of(), false);
      if (policy.shouldGiveUpLead(now)) {
        return true;
      }
      answerQuestions();
    }
    return false;
  }

  private void answerQuestions() {
    for (Effect effect : outbox.drain()) {
      if (effect instanceof Effect.Call call
          && call.path().equals(PeerMessageCodec.CONTACTS_PATH)
          && heardByOther >= 0) {
        outbox.reply(
            now,
            new Event.Reply(
                call.callId(), 200, PeerMessageCodec.encode(new ContactResponse(heardByOther))));
      }
    }
  }

  @Test
  void aLeaderThatLosesItsWorkersGivesUpBeforeTheyCanHaveTurnedToOthers() {
    machines(MachinePhase.UP);
    heardByOther = 0;
    for (; now <= 20 * S; now += STEP) {
      cluster.state().machines().values().forEach(m -> m.heartbeats().recordHeartbeat(now));
      fleet.tick(now, List.of(), false);
      assertFalse(policy.shouldGiveUpLead(now));
    }
    assertTrue(givesUpUntil(25 * S));
  }

  @Test
  void aNewLeaderLeadsOnIfNobodyHearsTheWorkers() {
    machines(MachinePhase.UNKNOWN);
    heardByOther = 0;
    assertFalse(givesUpUntil(40 * S));
  }

  @Test
  void aNewLeaderGivesUpIfAnotherHearsThem() {
    machines(MachinePhase.UNKNOWN);
    heardByOther = MACHINES / 2;
    assertTrue(givesUpUntil(12 * S));
  }

  @Test
  void oneThatIsHeardByChanceIsNotEnough() {
    machines(MachinePhase.UNKNOWN);
    heardByOther = 1;
    assertFalse(givesUpUntil(40 * S));
  }

  @Test
  void whileTheOthersTellNothingItGivesUpOnce() {
    machines(MachinePhase.UNKNOWN);
    assertTrue(givesUpUntil(12 * S));
    handovers.recordHandover(now);
    assertFalse(givesUpUntil(40 * S), "the others had their turn");
  }

  @Test
  void aLeaderThatLedOnGivesUpOnceAnotherHearsThem() {
    machines(MachinePhase.UNKNOWN);
    heardByOther = 0;
    assertFalse(givesUpUntil(30 * S));
    heardByOther = MACHINES;
    assertTrue(givesUpUntil(33 * S));
  }

  @Test
  void itGivesUpAlsoOnceTheLeasesAreOver() {
    machines(MachinePhase.LOST);
    heardByOther = 0;
    assertFalse(givesUpUntil(20 * S));
    heardByOther = MACHINES;
    assertTrue(givesUpUntil(23 * S));
  }

  @Test
  void workersThatAreHeardAndTakeNoAnswersTellNothingAboutOthers() {
    machines(MachinePhase.UP);
    heardByOther = 0;
    for (Machine machine : cluster.state().machines().values()) {
      machine.heartbeats().recordResponseDelivery(false);
      machine.heartbeats().recordResponseDelivery(false);
    }
    for (; now <= 10 * S; now += STEP) {
      cluster.state().machines().values().forEach(m -> m.heartbeats().recordHeartbeat(now));
      if (givesUpUntil(now)) {
        return;
      }
    }
    throw new AssertionError("led on, though another controller's answers may arrive");
  }
}
