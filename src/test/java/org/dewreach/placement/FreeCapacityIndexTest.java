package org.dewreach.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the indexed search returns the same machine as a linear scan of the list. */
class FreeCapacityIndexTest {
  private static final List<MachineType> TYPES =
      List.of(
          ClusterFixture.type("l", 32, 64, 4),
          ClusterFixture.type("m", 16, 128, 0),
          ClusterFixture.type("n", 16, 32, 0),
          ClusterFixture.type("s", 8, 32, 1));

  /**
   * The scan of the SortFirstFit paper with the tie-breaks of {@link SortFirstFit}, without any
   * index.
   */
  private static Machine linearScan(
      SortFirstFit list, JobSpec spec, Predicate<Machine> allowed, boolean spot) {
    Machine best = null;
    for (Machine machine : list.machines()) {
      boolean equal =
          best != null
              && best.type().cpus() == machine.type().cpus()
              && best.type().memoryGb() == machine.type().memoryGb();
      if (best != null && !equal) {
        break;
      }
      boolean fits =
          machine.spot() == spot
              && machine.schedulable()
              && spec.cpus() <= machine.freeCpus() + 1e-9
              && spec.memoryGb() <= machine.freeMemoryGb() + 1e-9
              && spec.gpus() <= machine.freeGpus() + 1e-9
              && allowed.test(machine);
      if (fits && machine.hasImage(spec.image())) {
        return machine;
      }
      if (fits && best == null) {
        best = machine;
      }
    }
    return best;
  }

  private static Machine expectedMachine(
      SortFirstFit list, JobSpec spec, Predicate<Machine> allowed) {
    Machine onSpot = spec.spot() ? linearScan(list, spec, allowed, true) : null;
    return onSpot != null ? onSpot : linearScan(list, spec, allowed, false);
  }

  private static JobSpec randomSpec(Random random, int number) {
    double cpus = 0.5 + random.nextInt(6);
    double gpus = random.nextInt(8) == 0 ? 1 : 0;
    double memoryGb = 0.3 * (1 + random.nextInt(60));
    return JobSpecBuilder.array("req-" + number)
        .tasks(5)
        .resources(cpus, memoryGb, gpus)
        .image("i" + random.nextInt(9), 1 + random.nextInt(3))
        .spot(random.nextBoolean())
        .build();
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void indexedSearchMatchesLinearScan(long seed) {
    Random random = new Random(seed);
    SortFirstFit list = new SortFirstFit();
    List<Machine> machines = new ArrayList<>();
    List<Task> bound = new ArrayList<>();
    int placed = 0;
    for (int step = 0; step < 3_000; step++) {
      switch (random.nextInt(12)) {
        case 0 -> {
          Machine machine =
              new Machine(
                  "vm-" + random.nextInt(100) + "-" + step,
                  "",
                  TYPES.get(random.nextInt(TYPES.size())),
                  "a",
                  random.nextBoolean(),
                  MachinePhase.BOOTING,
                  step);
          if (machines.size() < 150) {
            machine.commandable(true);
            machine.changePhase(MachinePhase.UP, step);
            list.add(machine);
            machines.add(machine);
          }
        }
        case 1 -> {
          if (!machines.isEmpty() && random.nextInt(4) == 0) {
            Machine machine = machines.get(random.nextInt(machines.size()));
            if (machine.tasks().isEmpty()) {
              list.remove(machine);
              machines.remove(machine);
            } else {
              machine.cordoned(random.nextBoolean());
              list.invalidateIndex();
            }
          }
        }
        case 2, 3, 4 -> {
          if (!bound.isEmpty()) {
            Task task = bound.remove(random.nextInt(bound.size()));
            task.changePhase(TaskPhase.GONE, step);
            task.machine().unbind(task, step);
            task.job().unbind(task);
            list.updateCapacity(task.machine());
          }
        }
        default -> {
          JobSpec spec = randomSpec(random, step);
          int filterDraw = random.nextInt(6);
          Predicate<Machine> allowed =
              machine -> filterDraw > 0 || machine.name().hashCode() % 3 != 0;
          Machine found = list.firstFit(spec, allowed);
          assertEquals(expectedMachine(list, spec, allowed), found, "step " + step);
          if (found != null) {
            Task task =
                new Task(
                    new Job(spec, 0, true, JobPhase.ACTIVE),
                    0,
                    step,
                    found,
                    TaskPhase.ASSIGNED,
                    step);
            task.job().bind(task);
            found.bind(task);
            list.updateCapacity(found);
            bound.add(task);
            placed++;
          }
        }
      }
    }
    assertTrue(placed > 500, "placed " + placed);
  }
}
