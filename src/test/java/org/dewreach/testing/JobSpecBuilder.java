package org.dewreach.testing;

import java.util.List;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;

/** Builds job specifications with defaults, so that a test sets only the fields that it needs. */
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
  private List<String> types;
  private String zone;
  private boolean sameZone;
  private boolean spreadZones;
  private boolean spot = true;
  private long expectedMicros = DEFAULT_EXPECTED_MICROS;
  private long checkpointIntervalMicros;
  private long checkpointDurationMicros;
  private long deadlineMicros = -1;

  private JobSpecBuilder(String id, JobKind jobKind) {
    this.id = id;
    this.jobKind = jobKind;
  }

  /**
   * Creates a builder for an array job of team red: one task that needs 1 CPU for 10 s and may run
   * on spot machines.
   */
  public static JobSpecBuilder array(String id) {
    return new JobSpecBuilder(id, JobKind.ARRAY);
  }

  /**
   * Creates a builder for a service of team red with high priority: one replica that needs 1 CPU
   * and runs on on-demand machines only.
   */
  public static JobSpecBuilder service(String id) {
    return new JobSpecBuilder(id, JobKind.SERVICE)
        .jobClass("live")
        .priority(Priority.HIGH)
        .spot(false)
        .expectedMicros(0);
  }

  /** Creates a builder for a gang of team red, with the defaults of an array job. */
  public static JobSpecBuilder gang(String id) {
    return new JobSpecBuilder(id, JobKind.GANG);
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

  /** Sets the number of tasks. */
  public JobSpecBuilder tasks(int count) {
    tasks = count;
    return this;
  }

  /** Sets the resources that each task needs. */
  public JobSpecBuilder resources(double newCpus, double newMemoryGb, double newGpus) {
    cpus = newCpus;
    memoryGb = newMemoryGb;
    gpus = newGpus;
    return this;
  }

  /** Sets the CPUs that each task needs. */
  public JobSpecBuilder cpus(double newCpus) {
    cpus = newCpus;
    return this;
  }

  /** Sets the image and its size in GB. */
  public JobSpecBuilder image(String newImage, double gb) {
    image = newImage;
    imageGb = gb;
    return this;
  }

  /** Sets the allowed machine types; null allows any. */
  public JobSpecBuilder types(List<String> newTypes) {
    types = newTypes;
    return this;
  }

  /** Sets the only allowed zone; null allows any. */
  public JobSpecBuilder zone(String newZone) {
    zone = newZone;
    return this;
  }

  /** Sets whether all tasks must run in the same zone. */
  public JobSpecBuilder sameZone(boolean newSameZone) {
    sameZone = newSameZone;
    return this;
  }

  /** Sets whether the tasks must be spread over more than one zone. */
  public JobSpecBuilder spreadZones(boolean newSpreadZones) {
    spreadZones = newSpreadZones;
    return this;
  }

  /** Sets whether the tasks may run on spot machines. */
  public JobSpecBuilder spot(boolean newSpot) {
    spot = newSpot;
    return this;
  }

  /** Sets the expected running time of a task. */
  public JobSpecBuilder expectedMicros(long micros) {
    expectedMicros = micros;
    return this;
  }

  /** Sets the interval between checkpoints of a task, and the duration of one checkpoint. */
  public JobSpecBuilder checkpoints(long intervalMicros, long durationMicros) {
    checkpointIntervalMicros = intervalMicros;
    checkpointDurationMicros = durationMicros;
    return this;
  }

  /** Sets the deadline, as a time after the submission; -1 for no deadline. */
  public JobSpecBuilder deadlineMicros(long micros) {
    deadlineMicros = micros;
    return this;
  }

  /** Returns the job specification. */
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
        types,
        zone,
        sameZone,
        spreadZones,
        spot,
        expectedMicros,
        checkpointIntervalMicros,
        checkpointDurationMicros,
        deadlineMicros);
  }
}
