package org.dewreach.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.job.Job;
import org.dewreach.job.JobPhase;
import org.dewreach.machine.Machine;
import org.dewreach.machine.MachinePhase;
import org.dewreach.task.Task;
import org.dewreach.task.TaskPhase;
import org.dewreach.wire.JobRequest;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.Shape;
import org.dewreach.wire.Urgency;
import org.junit.jupiter.api.Test;

class ConsolidationTest {
  private static final long S = 1_000_000;
  private static final long SETTLED = 60 * S;

  /** So long since the last call that the replicas' time pays for the most moves at once. */
  private static final long LONG_SINCE = 10_000 * S;

  private static final MachineType BOX =
      new MachineType("box", 4, 0, 64, 50, 1, 1, 0.3, 5 * S, List.of("a"));

  private final Books books =
      new Books(90, Map.of("red", new Settings.Team("red", 99, 99, 0, 0)), Tuning.DEFAULT);
  private final Consolidation consolidation = new Consolidation(books, Tuning.DEFAULT);

  private Machine machine(String name, boolean retiring) {
    Machine machine = new Machine(name, "", BOX, "a", false, MachinePhase.BOOTING, 0);
    machine.recorded(true);
    machine.become(MachinePhase.UP, 0);
    machine.retiring(retiring);
    books.add(machine);
    return machine;
  }

  private Task service(String id, Machine machine) {
    JobRequest spec =
        new JobRequest(
            id,
            "live",
            "red",
            Shape.SERVICE,
            Urgency.HIGH,
            1,
            1,
            0,
            1,
            "img",
            0,
            null,
            null,
            false,
            false,
            false,
            0,
            0,
            0,
            -1);
    Job job = new Job(spec, 0, true, JobPhase.LIVE);
    books.jobs().put(id, job);
    Task task = books.bind(job, 0, books.nextAttempt(), machine, TaskPhase.ASSIGNED, 0);
    task.become(TaskPhase.RUNNING, 0);
    return task;
  }

  /**
   * Guards against machines that all run empty side by side, each kept for a few services: without
   * {@code keepOneFor} nothing moves here.
   */
  @Test
  void theFullestMachineThatRunsEmptyTakesInTheOthersServices() {
    Machine fuller = machine("m2", true);
    service("req-1", fuller);
    service("req-2", fuller);
    Task alone = service("req-3", machine("m1", true));
    consolidation.move(SETTLED, LONG_SINCE);
    assertEquals(TaskPhase.STOPPING, alone.phase());
    assertFalse(fuller.retiring(), "it is where the service goes");
    assertEquals(2, fuller.tasks().size());
  }

  /** Guards against two machines that are kept for each other's service, or neither is. */
  @Test
  void ofTwoEquallyFullMachinesOneIsKept() {
    Machine one = machine("m1", true);
    Machine other = machine("m2", true);
    Task first = service("req-1", one);
    Task second = service("req-2", other);
    consolidation.move(SETTLED, LONG_SINCE);
    assertTrue(one.retiring() != other.retiring());
    assertTrue(first.phase() != second.phase(), "only the service of the other one is moved");
  }

  /** Guards against moves that free no machine: without the order the first one loses a service. */
  @Test
  void theEmptiestMachineIsClearedFirst() {
    Machine target = machine("m0", false);
    service("req-1", target);
    Machine first = machine("m1", true);
    Task one = service("req-2", first);
    Task two = service("req-3", first);
    Task alone = service("req-4", machine("m2", true));
    consolidation.move(SETTLED, LONG_SINCE);
    assertEquals(TaskPhase.STOPPING, alone.phase());
    assertEquals(TaskPhase.RUNNING, one.phase());
    assertEquals(TaskPhase.RUNNING, two.phase());
  }
}
