package org.dewreach.testing;

import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;

/** Builds job descriptions for tests: a test names only what matters to it. */
public final class JobSpecBuilder {
  private static final long DEFAULT_EXPECTED_MICROS = 10_000_000;

  private final String id;
  private final JobKind jobKind;
  private String jobClass = "scan";
  private String team = "red";
  private Priority priority = Priority.NORMAL;
  private int tasks = 1;
  private double cpus = 1;
  private double gpus;
  private double memoryGb = 1;
  private String image = "img";
  private double imageGb = 1;
  private String zone;
  private boolean sameZone;
  private boolean spreadZones;
  private boolean spot = true;
  private long expectedMicros = DEFAULT_EXPECTED_MICROS;
  private long checkpointIntervalMicros;
  private long checkpointDurationMicros;
  private long dueMicros = -1;

  private JobSpecBuilder(String id, JobKind jobKind) {
    this.id = id;
    this.jobKind = jobKind;
  }

  /** One task of team red that takes 1 CPU for 10 s, on any machine. */
  public static JobSpecBuilder array(String id) {
    return new JobSpecBuilder(id, JobKind.ARRAY);
  }

  /** One replica of team red with high priority that takes 1 CPU, on on-demand machines. */
  public static JobSpecBuilder service(String id) {
    return new JobSpecBuilder(id, JobKind.SERVICE)
        .jobClass("live")
        .priority(Priority.HIGH)
        .spot(false)
        .expectedMicros(0);
  }

  /** Sets the class of the job. */
  public JobSpecBuilder jobClass(String newJobClass) {
    jobClass = newJobClass;
    return this;
  }

  /** Sets the team. */
  public JobSpecBuilder team(String newTeam) {
    team = newTeam;
    return this;
  }

  /** Sets the priority. */
  public JobSpecBuilder priority(Priority newPriority) {
    priority = newPriority;
    return this;
  }

  /** Sets how many tasks it has. */
  public JobSpecBuilder tasks(int count) {
    tasks = count;
    return this;
  }

  /** Sets what each task takes. */
  public JobSpecBuilder resources(double newCpus, double newMemoryGb, double newGpus) {
    cpus = newCpus;
    memoryGb = newMemoryGb;
    gpus = newGpus;
    return this;
  }

  /** Sets the CPUs that each task takes. */
  public JobSpecBuilder cpus(double newCpus) {
    cpus = newCpus;
    return this;
  }

  /** Sets the image and its size. */
  public JobSpecBuilder image(String newImage, double gb) {
    image = newImage;
    imageGb = gb;
    return this;
  }

  /** Sets the only allowed zone; null allows any. */
  public JobSpecBuilder zone(String newZone) {
    zone = newZone;
    return this;
  }

  /** Sets whether all tasks have to be in one zone. */
  public JobSpecBuilder sameZone(boolean now) {
    sameZone = now;
    return this;
  }

  /** Sets whether no zone may hold all tasks. */
  public JobSpecBuilder spreadZones(boolean now) {
    spreadZones = now;
    return this;
  }

  /** Sets whether its tasks may run on spot machines. */
  public JobSpecBuilder spot(boolean now) {
    spot = now;
    return this;
  }

  /** Sets the expected running time of a task. */
  public JobSpecBuilder expectedMicros(long micros) {
    expectedMicros = micros;
    return this;
  }

  /** Sets how often a task saves its progress, and how long that takes. */
  public JobSpecBuilder checkpoints(long intervalMicros, long durationMicros) {
    checkpointIntervalMicros = intervalMicros;
    checkpointDurationMicros = durationMicros;
    return this;
  }

  /** Sets when it should be complete, from its submission; -1 for never. */
  public JobSpecBuilder dueMicros(long micros) {
    dueMicros = micros;
    return this;
  }

  /** The description. */
  public JobSpec build() {
    return new JobSpec(
        id,
        jobClass,
        team,
        jobKind,
        priority,
        tasks,
        cpus,
        gpus,
        memoryGb,
        image,
        imageGb,
        null,
        zone,
        sameZone,
        spreadZones,
        spot,
        expectedMicros,
        checkpointIntervalMicros,
        checkpointDurationMicros,
        dueMicros);
  }
}
