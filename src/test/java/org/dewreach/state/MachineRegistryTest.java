package org.dewreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Precondition;
import org.dewreach.store.TokenBucket;
import org.dewreach.wire.Codec;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.Test;

class MachineRegistryTest {
  private static final long S = 1_000_000;
  private static final int VALUE_BYTES = 8192;
  private static final MachineType TYPE =
      new MachineType("box", 8, 0, 32, 50, 1, 1, 0.3, 5 * S, List.of("a"));

  private final Outbox outbox = new Outbox();
  private final List<String> broken = new ArrayList<>();
  private final CommitQueue queue =
      new CommitQueue(
          new KeyValueStore(outbox),
          new Precondition("dw/leader", 9),
          24,
          new TokenBucket(100, 100),
          () -> broken.add("lost"));
  private final MachineRegistry registry =
      new MachineRegistry(
          queue,
          VALUE_BYTES,
          0,
          new JobRecordWriter.Listener() {
            @Override
            public void onAccepted(Job job, long nowMicros) {}

            @Override
            public void onCancelled(Job job, long nowMicros) {}

            @Override
            public void onEnded(Job job, long nowMicros) {}

            @Override
            public void onMachinesRegistered(long nowMicros) {}

            @Override
            public void onRecordConflict(String why, long nowMicros) {
              broken.add(why);
            }
          });

  private static Machine machine(int number) {
    return new Machine(
        String.format("vm-%06d", number), "", TYPE, "a", true, MachinePhase.BOOTING, 0);
  }

  private List<Effect.Call> sent() {
    List<Effect.Call> commits = new ArrayList<>();
    outbox.drain().forEach(effect -> commits.add((Effect.Call) effect));
    return commits;
  }

  private void answer(Effect.Call call, int status, long revision) {
    JsonNode body = Codec.map().put("ledger_rev", revision);
    outbox.reply(20 * S, new Event.Reply(call.callId(), status, body));
  }

  @Test
  void aWholeRentalTakesOneChangeForEachPage() {
    List<Machine> rented = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      rented.add(machine(i));
      registry.register(rented.get(i), 0);
    }
    registry.tick(3 * S);
    int changes = 0;
    List<String> names = new ArrayList<>();
    for (List<Effect.Call> now = sent(); !now.isEmpty(); now = sent()) {
      for (Effect.Call call : now) {
        for (JsonNode change : call.body().path("then")) {
          changes++;
          assertTrue(change.path("data").toString().length() < VALUE_BYTES);
          MachinePageRecord.decode(change.path("data"))
              .entries()
              .forEach(entry -> names.add(entry.name()));
        }
        answer(call, 200, 10);
      }
    }
    assertEquals(rented.stream().map(Machine::name).toList(), names);
    assertTrue(changes <= 5, changes + " changes for 200 machines");
    rented.forEach(machine -> assertFalse(machine.recorded(), "not marked yet"));
  }

  /** Guards against a command to a machine that a later leader would not wait for. */
  @Test
  void aMachineIsMarkedOnlyOnceThatIsDurable() {
    Machine machine = machine(1);
    registry.register(machine, 0);
    registry.registerForCommands(machine, 0);
    registry.tick(S);
    Effect.Call commit = sent().get(0);
    assertFalse(machine.recorded());
    assertTrue(
        MachinePageRecord.decode(commit.body().at("/then/0/data")).entries().get(0).commandable());
    answer(commit, 200, 31);
    assertTrue(machine.recorded());
  }

  /** Guards against a late copy of a page that lacks machines marked since. */
  @Test
  void eachFormOfAPageIsConditionalOnTheOneBefore() {
    registry.registerForCommands(machine(1), 0);
    registry.tick(S);
    Effect.Call first = sent().get(0);
    registry.registerForCommands(machine(2), S);
    registry.tick(2 * S);
    assertTrue(sent().isEmpty(), "one form of a page is in flight at a time");
    answer(first, 200, 31);
    registry.tick(3 * S);
    Effect.Call second = sent().get(0);
    assertEquals(31, second.body().at("/when/1/stamp").asLong());
    assertEquals(2, MachinePageRecord.decode(second.body().at("/then/0/data")).entries().size());
    assertEquals(List.of(), broken);
  }

  @Test
  void aPageChangedBySomebodyEndsTheTerm() {
    registry.registerForCommands(machine(1), 0);
    registry.tick(S);
    Effect.Call commit = sent().get(0);
    var conflict = Codec.map().put("ledger_rev", 40);
    conflict.putArray("failed").add("dw/machines/0");
    outbox.reply(2 * S, new Event.Reply(commit.callId(), 409, conflict));
    assertEquals(1, broken.size());
  }
}
