package org.dewreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.port.Effect;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.Precondition;
import org.dewreach.store.TokenBucket;
import org.dewreach.testing.KeyValueStoreFixture;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.Test;

/** Tests which machines are durably registered, and when. */
class MachineRegistryTest {
  private static final long SECOND = 1_000_000;
  private static final int MAX_VALUE_BYTES = 8192;
  private static final MachineType TYPE =
      new MachineType("box", 8, 0, 32, 50, 1, 1, 0.3, 5 * SECOND, List.of("a"));

  private final KeyValueStoreFixture fixture = new KeyValueStoreFixture();
  private final RecordingListener listener = new RecordingListener();
  private final CommitQueue queue =
      new CommitQueue(
          fixture.store(),
          new Precondition("dw/leader", 9),
          24,
          new TokenBucket(100, 100),
          () -> listener.conflicts.add("leader key"));
  private final MachineRegistry registry = new MachineRegistry(queue, MAX_VALUE_BYTES, 0, listener);

  private static Machine machine(int number) {
    return new Machine(
        String.format("vm-%06d", number), "", TYPE, "a", true, MachinePhase.BOOTING, 0);
  }

  private static List<MachinePageRecord.Entry> entries(JsonNode value) {
    return MachinePageRecord.decode(value).entries();
  }

  @Test
  void allMachinesOfAPageAreRegisteredByOneMutation() {
    List<Machine> rented = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      rented.add(machine(i));
      registry.register(rented.get(i), 0);
    }
    registry.tick(3 * SECOND);
    int mutations = 0;
    List<String> names = new ArrayList<>();
    for (List<Effect.Call> now = fixture.requests(); !now.isEmpty(); now = fixture.requests()) {
      for (Effect.Call call : now) {
        for (JsonNode mutation : call.body().path("then")) {
          mutations++;
          assertTrue(mutation.path("data").toString().length() < MAX_VALUE_BYTES);
          entries(mutation.path("data")).forEach(entry -> names.add(entry.name()));
        }
        fixture.commit(call, 10, 20 * SECOND);
      }
    }
    assertEquals(rented.stream().map(Machine::name).toList(), names);
    assertTrue(mutations <= 5, mutations + " mutations for 200 machines");
    rented.forEach(
        machine -> assertFalse(machine.commandable(), "not registered for commands yet"));
  }

  /** Guards against sending a command to a machine that a later leader would not wait for. */
  @Test
  void aMachineIsCommandableOnlyOnceItsRegistrationIsDurable() {
    Machine machine = machine(1);
    registry.register(machine, 0);
    registry.registerForCommands(machine, 0);
    registry.tick(SECOND);
    Effect.Call commit = fixture.requests().get(0);
    assertFalse(machine.commandable());
    assertTrue(entries(commit.body().at("/then/0/data")).get(0).commandable());
    fixture.commit(commit, 31, 20 * SECOND);
    assertTrue(machine.commandable());
  }

  /**
   * Guards against applying a late copy of a page write that lacks machines registered since then.
   */
  @Test
  void eachWriteOfAPageIsConditionalOnTheRevisionOfTheOneBefore() {
    registry.registerForCommands(machine(1), 0);
    registry.tick(SECOND);
    Effect.Call first = fixture.requests().get(0);
    registry.registerForCommands(machine(2), SECOND);
    registry.tick(2 * SECOND);
    assertTrue(fixture.requests().isEmpty(), "one write of a page is in flight at a time");
    fixture.commit(first, 31, 20 * SECOND);
    registry.tick(3 * SECOND);
    Effect.Call second = fixture.requests().get(0);
    assertEquals(31, second.body().at("/when/1/stamp").asLong());
    assertEquals(2, entries(second.body().at("/then/0/data")).size());
    assertEquals(List.of(), listener.conflicts);
  }

  @Test
  void aPageChangedByAnotherWriterEndsTheTerm() {
    registry.registerForCommands(machine(1), 0);
    registry.tick(SECOND);
    Effect.Call commit = fixture.requests().get(0);
    fixture.conflict(commit, "dw/machines/0", 2 * SECOND);
    assertEquals(1, listener.conflicts.size());
  }
}
