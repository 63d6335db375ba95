package org.dewreach.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.JobSpec;
import org.junit.jupiter.api.Test;

/** Tests which machine is chosen for a task: {@link SortFirstFit}. */
class SortFirstFitTest {
  private static Machine machine(String name, double cpus, double memory, double gpus) {
    return ClusterFixture.newUpMachine(name, ClusterFixture.type("t", cpus, memory, gpus), false);
  }

  private static JobSpec task(double cpus, double memory, double gpus) {
    return JobSpecBuilder.array("req-1").resources(cpus, memory, gpus).spot(false).build();
  }

  @Test
  void largestCpuFirstThenMemoryThenName() {
    SortFirstFit list = new SortFirstFit();
    Machine small = machine("a", 8, 64, 0);
    Machine largeLowMemory = machine("b", 16, 32, 0);
    Machine largeHighMemory2 = machine("d", 16, 64, 0);
    Machine largeHighMemory1 = machine("c", 16, 64, 0);
    List.of(small, largeLowMemory, largeHighMemory2, largeHighMemory1).forEach(list::add);
    assertEquals(
        List.of(largeHighMemory1, largeHighMemory2, largeLowMemory, small), list.machines());
    assertEquals(largeHighMemory1, list.firstFit(task(1, 1, 0), m -> true));
  }

  @Test
  void allResourcesAreCheckedTogether() {
    SortFirstFit list = new SortFirstFit();
    Machine cpuOnly = machine("a", 32, 8, 0);
    Machine gpu = machine("b", 8, 64, 2);
    list.add(cpuOnly);
    list.add(gpu);
    assertEquals(gpu, list.firstFit(task(2, 16, 0), m -> true));
    assertEquals(gpu, list.firstFit(task(2, 1, 1), m -> true));
    assertNull(list.firstFit(task(16, 16, 0), m -> true));
  }

  @Test
  void drainingMachinesAreSkipped() {
    SortFirstFit list = new SortFirstFit();
    Machine large = machine("a", 32, 64, 0);
    Machine small = machine("b", 8, 64, 0);
    list.add(large);
    list.add(small);
    large.changePhase(MachinePhase.DRAINING, 1);
    assertEquals(small, list.firstFit(task(1, 1, 0), m -> true));
  }
}
