package org.dewreach.sim;

import java.util.List;
import java.util.Random;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;

/**
 * Generates random job descriptions. A change of the order of the random calls changes the run of
 * every seed.
 */
final class JobGenerator {
  private static final String ARRAY_CLASS = "sweep";
  private static final String SERVICE_CLASS = "live";
  private static final int LARGE_ARRAY_TASKS = 30;
  private static final long DEADLINE_MICROS = 60 * Clock.SECOND;

  private final Random random;

  JobGenerator(Random random) {
    this.random = random;
  }

  /** Returns the size and team of a job, by which tests group the jobs of an overload. */
  static String sizeAndTeam(JobSpec spec) {
    return (spec.tasks() >= LARGE_ARRAY_TASKS ? "large " : "small ") + spec.team();
  }

  /** Returns a job of any kind with random requirements. */
  JobSpec anyJob(String id) {
    boolean service = random.nextInt(3) == 0;
    int tasks = service ? 1 + random.nextInt(2) : 1 + random.nextInt(8);
    boolean sameZone = random.nextInt(6) == 0;
    boolean spreadZones = !sameZone && random.nextInt(6) == 0;
    return new JobSpec(
        id,
        service ? SERVICE_CLASS : ARRAY_CLASS,
        team(),
        service ? JobKind.SERVICE : random.nextInt(5) == 0 ? JobKind.GANG : JobKind.ARRAY,
        priority(),
        tasks,
        1 + random.nextInt(3),
        0,
        1 + random.nextInt(6),
        "img",
        1,
        random.nextInt(5) == 0 ? List.of("big") : null,
        random.nextInt(6) == 0 && !spreadZones ? "a" : null,
        sameZone,
        spreadZones,
        random.nextBoolean(),
        service ? 0 : 1_000_000 + random.nextInt(12_000_000),
        0,
        0,
        service ? -1 : DEADLINE_MICROS);
  }

  /** Returns a small array, or with a probability of 1 in 20 a large one. */
  JobSpec overloadJob(String id) {
    boolean large = random.nextInt(20) == 0;
    return JobSpecBuilder.array(id)
        .jobClass(ARRAY_CLASS)
        .team(team())
        .tasks(large ? LARGE_ARRAY_TASKS : 1 + random.nextInt(6))
        .resources(2, 2, 0)
        .expectedMicros(12 * Clock.SECOND)
        .deadlineMicros(DEADLINE_MICROS)
        .build();
  }

  /** Returns a job for a large fleet: a service, or an array that may use spot machines. */
  JobSpec fleetJob(String id, boolean service, int tasks, long runMicros) {
    return serviceOrArray(id, service)
        .team(team())
        .tasks(tasks)
        .resources(2, 2, 0)
        .expectedMicros(service ? 0 : runMicros)
        .build();
  }

  /** Returns an array or service whose tasks run long. */
  JobSpec longJob(String id, int tasks, long runMicros) {
    boolean service = random.nextInt(3) == 0;
    return serviceOrArray(id, service)
        .team(team())
        .priority(priority())
        .tasks(tasks)
        .resources(1, 1 + random.nextInt(6), 0)
        .zone(random.nextInt(3) > 0 ? null : random.nextBoolean() ? "a" : "b")
        .spot(random.nextBoolean())
        .expectedMicros(service ? 0 : runMicros)
        .build();
  }

  /** Returns a job of one task that runs for a few seconds. */
  JobSpec shortJob(String id) {
    long runMicros = 500_000 + random.nextInt(3_000_000);
    return JobSpecBuilder.array(id)
        .jobClass(ARRAY_CLASS)
        .team(team())
        .priority(priority())
        .image("img", 0.1)
        .spot(random.nextBoolean())
        .expectedMicros(runMicros)
        .deadlineMicros(DEADLINE_MICROS)
        .build();
  }

  private static JobSpecBuilder serviceOrArray(String id, boolean service) {
    return service
        ? JobSpecBuilder.service(id).jobClass(SERVICE_CLASS)
        : JobSpecBuilder.array(id).jobClass(ARRAY_CLASS);
  }

  private String team() {
    return random.nextBoolean() ? "red" : "blue";
  }

  private Priority priority() {
    return Priority.values()[random.nextInt(4)];
  }
}
