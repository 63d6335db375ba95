package org.dewreach.testing;

import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;

/** A leader's cluster state to which tests add machines, jobs and bound tasks. */
public final class ClusterFixture {
  /** The term of the leader. */
  public static final long TERM = 90;

  /** One second, in microseconds. */
  public static final long SECOND = 1_000_000;

  private final ClusterState state;

  /** Creates an empty cluster with the given teams. */
  public ClusterFixture(Map<String, Settings.Team> teams) {
    state = new ClusterState(TERM, teams, Tuning.DEFAULT);
  }

  /** Creates an empty cluster with team red, which has the given CPU guarantee and quota. */
  public ClusterFixture(double guaranteedCpus, double cpuQuota) {
    this(teams(guaranteedCpus, cpuQuota));
  }

  /** Returns team red with the given CPU guarantee and quota, and no GPUs, by its name. */
  public static Map<String, Settings.Team> teams(double guaranteedCpus, double cpuQuota) {
    return Map.of("red", new Settings.Team("red", guaranteedCpus, cpuQuota, 0, 0));
  }

  /** Returns a machine type of zone a that boots in 5 s and fetches images at 1 GB/s. */
  public static MachineType type(String name, double cpus, double memoryGb, double gpus) {
    return new MachineType(name, cpus, gpus, memoryGb, 50, 1, 1, 0.3, 5 * SECOND, List.of("a"));
  }

  /**
   * Returns a machine without tasks that is durably registered for commands; it is not part of any
   * cluster yet.
   */
  public static Machine newMachine(
      String name, MachineType type, boolean spot, MachinePhase phase) {
    Machine machine = new Machine(name, "", type, "a", spot, phase, 0);
    machine.commandable(true);
    return machine;
  }

  /** Returns a machine as {@link #newMachine} does, in phase UP. */
  public static Machine newUpMachine(String name, MachineType type, boolean spot) {
    Machine machine = newMachine(name, type, spot, MachinePhase.BOOTING);
    machine.changePhase(MachinePhase.UP, 0);
    return machine;
  }

  /** Returns the cluster state. */
  public ClusterState state() {
    return state;
  }

  /** Adds a machine and returns it. */
  public Machine add(Machine machine) {
    state.addMachine(machine);
    return machine;
  }

  /** Adds an active job that was submitted at time 0 in this term. */
  public Job submitted(JobSpec spec) {
    return add(spec, true);
  }

  /** Adds an active job that was submitted at time 0 in an earlier term. */
  public Job loaded(JobSpec spec) {
    return add(spec, false);
  }

  private Job add(JobSpec spec, boolean addedThisTerm) {
    Job job = new Job(spec, 0, addedThisTerm, JobPhase.ACTIVE);
    state.addJob(job);
    return job;
  }

  /** Binds a task of the job with a new attempt. */
  public Task bind(Job job, int index, Machine machine, TaskPhase phase, long nowMicros) {
    return state.bind(job, index, state.nextAttempt(), machine, phase, nowMicros);
  }
}
