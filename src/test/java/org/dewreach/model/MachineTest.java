package org.dewreach.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.Priority;
import org.dewreach.wire.TaskName;
import org.junit.jupiter.api.Test;

/** Tests when a machine is idle or schedulable, and its free capacity: {@link Machine}. */
class MachineTest {
  private static final long SECOND = 1_000_000;
  private static final MachineType TYPE = ClusterFixture.type("box", 8, 32, 0);

  private final Machine machine = ClusterFixture.newUpMachine("m1", TYPE, false);

  private Task bind(int index) {
    Job job =
        new Job(JobSpecBuilder.array("req-" + index).cpus(0.1).build(), 0, true, JobPhase.ACTIVE);
    Task task = new Task(job, index, 1, machine, TaskPhase.ASSIGNED, 0);
    machine.bind(task);
    return task;
  }

  @Test
  void aMachineThatIsGoneStaysGone() {
    machine.changePhase(MachinePhase.GONE, SECOND);
    assertThrows(
        IllegalStateException.class, () -> machine.changePhase(MachinePhase.UP, 2 * SECOND));
  }

  @Test
  void idleTimeBeginsWhenTheMachineComesUpOrItsLastTaskIsUnbound() {
    Machine booting = ClusterFixture.newMachine("m2", TYPE, false, MachinePhase.BOOTING);
    booting.changePhase(MachinePhase.UP, 20 * SECOND);
    assertEquals(20 * SECOND, booting.idleSince());
    booting.changePhase(MachinePhase.DRAINING, 30 * SECOND);
    booting.changePhase(MachinePhase.UP, 40 * SECOND);
    assertEquals(20 * SECOND, booting.idleSince(), "draining does not restart the idle time");
    booting.changePhase(MachinePhase.LOST, 50 * SECOND);
    booting.changePhase(MachinePhase.UP, 60 * SECOND);
    assertEquals(60 * SECOND, booting.idleSince());
    Task task = bind(0);
    machine.unbind(task, 70 * SECOND);
    assertEquals(70 * SECOND, machine.idleSince());
  }

  @Test
  void anEmptyMachineHasItsFullCapacityDespiteRoundingErrors() {
    Task first = bind(0);
    Task second = bind(1);
    Task third = bind(2);
    assertTrue(machine.hasTaskOfLowerPriority(Priority.HIGH));
    machine.unbind(first, SECOND);
    machine.unbind(second, SECOND);
    machine.unbind(third, SECOND);
    assertEquals(8.0, machine.freeCpus());
    assertFalse(machine.hasTaskOfLowerPriority(Priority.HIGH));
  }

  @Test
  void unreliableMachinesAreNotSchedulable() {
    assertTrue(machine.schedulable());
    machine.cordoned(true);
    assertFalse(machine.schedulable());
    assertTrue(machine.schedulableOnceUncordoned());
    machine.cordoned(false);
    machine.failures().quarantine(SECOND);
    assertFalse(machine.schedulable());
    machine.failures().clear(SECOND);
    machine.reclaimAt(30 * SECOND);
    assertFalse(machine.schedulable());
    machine.reclaimAt(-1);
    machine.heartbeats().markUnreachable();
    assertFalse(machine.schedulable());
    machine.heartbeats().recordHeartbeat(SECOND);
    machine.heartbeats().restartCheck(RestartCheck.CONFIRMED);
    assertFalse(machine.schedulable());
    machine.heartbeats().restartCheck(RestartCheck.CHECKING);
    assertTrue(machine.schedulable());
    machine.commandable(false);
    assertFalse(machine.schedulable());
  }

  @Test
  void aNewIncarnationClearsDirectStarts() {
    TaskName task = new TaskName("req-1", 0);
    machine.recordSequence(4, 1);
    machine.directCommands().recordStart(task, 7);
    machine.recordSequence(4, 2);
    assertTrue(machine.directCommands().hasStartedTask(task));
    assertTrue(machine.directCommands().hasStartedAttempt(7));
    machine.recordSequence(5, 0);
    assertFalse(machine.directCommands().hasStartedTask(task));
    assertEquals(0, machine.directCommands().startCount());
  }
}
