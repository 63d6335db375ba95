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

/** A leader's cluster state with machines and jobs, for tests of what works on it. */
public final class ClusterFixture {
  /** The leader's term. */
  public static final long TERM = 90;

  /** A second. */
  public static final long S = 1_000_000;

  private final ClusterState state;

  /** An empty cluster with these teams. */
  public ClusterFixture(Map<String, Settings.Team> teams) {
    state = new ClusterState(TERM, teams, Tuning.DEFAULT);
  }

  /** An empty cluster with team red, which has these CPUs guaranteed and at most. */
  public ClusterFixture(double cpus, double cpusMax) {
    this(teams(cpus, cpusMax));
  }

  /** Team red, which has these CPUs guaranteed and at most. */
  public static Map<String, Settings.Team> teams(double cpus, double cpusMax) {
    return Map.of("red", new Settings.Team("red", cpus, cpusMax, 0, 0));
  }

  /** A machine type of zone a that boots in 5 s and fetches images at 1 GB/s. */
  public static MachineType type(String name, double cpus, double memoryGb, double gpus) {
    return new MachineType(name, cpus, gpus, memoryGb, 50, 1, 1, 0.3, 5 * S, List.of("a"));
  }

  /** A recorded machine that nothing is bound to, outside of any cluster. */
  public static Machine newMachine(
      String name, MachineType type, boolean spot, MachinePhase phase) {
    Machine machine = new Machine(name, "", type, "a", spot, phase, 0);
    machine.commandable(true);
    return machine;
  }

  /** As {@link #newMachine}, and up. */
  public static Machine newUpMachine(String name, MachineType type, boolean spot) {
    Machine machine = newMachine(name, type, spot, MachinePhase.BOOTING);
    machine.become(MachinePhase.UP, 0);
    return machine;
  }

  /** The cluster state. */
  public ClusterState state() {
    return state;
  }

  /** Adds a machine. */
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
