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

/** Which machine the list gives to a task: {@link SortFirstFit}. */
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
    Machine bigLow = machine("b", 16, 32, 0);
    Machine bigHigh2 = machine("d", 16, 64, 0);
    Machine bigHigh1 = machine("c", 16, 64, 0);
    List.of(small, bigLow, bigHigh2, bigHigh1).forEach(list::add);
    assertEquals(List.of(bigHigh1, bigHigh2, bigLow, small), list.machines());
    assertEquals(bigHigh1, list.firstFit(task(1, 1, 0), m -> true));
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
    Machine big = machine("a", 32, 64, 0);
    Machine small = machine("b", 8, 64, 0);
    list.add(big);
    list.add(small);
    big.become(MachinePhase.DRAINING, 1);
    assertEquals(small, list.firstFit(task(1, 1, 0), m -> true));
  }
}
