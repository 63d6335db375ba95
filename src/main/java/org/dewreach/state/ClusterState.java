package org.dewreach.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.model.ExitedRecord;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.placement.Quotas;
import org.dewreach.placement.ServiceArrivalRate;
import org.dewreach.placement.SortFirstFit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The in-memory state of the leader of one term: jobs, machines, and which task is bound to which
 * machine.
 */
public final class ClusterState {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

  /**
   * The number of low bits that count the attempts of a term; the bits above them hold the term.
   */
  private static final int ATTEMPT_NUMBER_BITS = 24;

  private final long term;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /**
   * The read-only views are created once, because every placement pass and every heartbeat uses
   * them.
   */
  private final Map<String, Job> jobsView = Collections.unmodifiableMap(jobs);

  private final Map<String, Machine> machinesView = Collections.unmodifiableMap(machines);

  private final SortFirstFit sortedMachines = new SortFirstFit();
  private final Quotas quotas;
  private final ServiceArrivalRate serviceArrivalRate;
  private final Set<Machine> machinesToCommand = new LinkedHashSet<>();
  private long lastAttemptNumber;
  private boolean placementRequested = true;

  /** Creates the empty state of a term. */
  public ClusterState(long term, Map<String, Settings.Team> teams, Tuning tuning) {
    this.serviceArrivalRate = new ServiceArrivalRate(tuning.headroomDeviations());
    this.term = term;
    this.quotas = new Quotas(teams);
  }

  /** Returns the number of the term, which is the revision at which its leader was elected. */
  public long term() {
    return term;
  }

  /** Returns a read-only view of the jobs that have not ended, by id. */
  public Map<String, Job> jobs() {
    return jobsView;
  }

  /** Returns a read-only view of all machines, by name. */
  public Map<String, Machine> machines() {
    return machinesView;
  }

  /** Returns all machines in the order in which placement considers them. */
  public SortFirstFit sortedMachines() {
    return sortedMachines;
  }

  /** Returns the resources that the bound tasks of each team use. */
  public Quotas quotas() {
    return quotas;
  }

  /**
   * Returns the machines with tasks that were recently assigned or are to be stopped. The sender of
   * direct commands removes them.
   */
  public Set<Machine> machinesToCommand() {
    return machinesToCommand;
  }

  /** Returns the rate at which services are submitted. */
  public ServiceArrivalRate serviceArrivalRate() {
    return serviceArrivalRate;
  }

  /**
   * Returns the number of CPUs that are free for new tasks on spot machines, or on on-demand
   * machines.
   */
  public double freeCpus(boolean spot) {
    double free = 0;
    for (Machine machine : sortedMachines.machines()) {
      if (machine.spot() == spot && machine.schedulable()) {
        free += machine.freeCpus();
      }
    }
    return free;
  }

  /** Requests a placement pass, because free capacity or demand has changed. */
  public void requestPlacement() {
    placementRequested = true;
  }

  /** True if a placement pass was requested since the last call. */
  public boolean consumePlacementRequest() {
    boolean requested = placementRequested;
    placementRequested = false;
    return requested;
  }

  /**
   * Returns a number that no other attempt ever gets: it contains the term, and a term has only one
   * leader.
   */
  public long nextAttempt() {
    return (term << ATTEMPT_NUMBER_BITS) + ++lastAttemptNumber;
  }

  /** Adds a job. */
  public void addJob(Job job) {
    jobs.put(job.id(), job);
  }

  /** Removes a job that has ended, or whose acceptance or import failed. */
  public void removeJob(Job job) {
    jobs.remove(job.id(), job);
  }

  /** Adds a machine. */
  public void addMachine(Machine machine) {
    machines.put(machine.name(), machine);
    sortedMachines.add(machine);
    requestPlacement();
  }

  /**
   * Binds a task to a machine. From then on, the task is assumed to run there until it is unbound.
   */
  public Task bind(
      Job job, int index, long attempt, Machine machine, TaskPhase phase, long nowMicros) {
    Task task = new Task(job, index, attempt, machine, phase, nowMicros);
    job.bind(task);
    machine.bind(task);
    sortedMachines.updateCapacity(machine);
    if (phase == TaskPhase.ASSIGNED) {
      machinesToCommand.add(machine);
    }
    quotas.add(job.spec(), 1);
    LOG.debug(
        "task bound: task={} attempt={} machine={} phase={}",
        task.name(),
        attempt,
        machine.name(),
        phase);
    return task;
  }

  /**
   * Binds a task to a machine to whose worker its start was sent directly before, in the same
   * incarnation. The task runs as the same attempt again: the worker then knows the attempt at all
   * times, except while it is bound here, so a late copy of the start has no effect elsewhere.
   */
  public Task bindAgain(Job job, int index, long attempt, Machine machine, long nowMicros) {
    Task task = bind(job, index, attempt, machine, TaskPhase.ASSIGNED, nowMicros);
    task.exitedRecord(ExitedRecord.KEPT);
    return task;
  }

  /** Unbinds a task that is proven gone from its machine. */
  public void unbind(Task task, String reason, long nowMicros) {
    LOG.debug(
        "task unbound: task={} attempt={} machine={} reason=\"{}\"",
        task.name(),
        task.attempt(),
        task.machine().name(),
        reason);
    task.changePhase(TaskPhase.GONE, nowMicros);
    task.machine().unbind(task, nowMicros);
    Job job = task.job();
    job.unbind(task);
    sortedMachines.updateCapacity(task.machine());
    quotas.add(job.spec(), -1);
    requestPlacement();
  }

  /** Unbinds all tasks of a machine, all of which are proven gone. */
  public void unbindAll(Machine machine, String reason, long nowMicros) {
    List<Task> tasks = new ArrayList<>(machine.tasks());
    if (!tasks.isEmpty()) {
      LOG.info(
          "tasks lost: machine={} tasks={} reason=\"{}\"", machine.name(), tasks.size(), reason);
    }
    tasks.forEach(task -> unbind(task, reason, nowMicros));
  }

  /** Changes the phase of a machine that stays in the cluster state. */
  public void changePhase(Machine machine, MachinePhase next, String reason, long nowMicros) {
    LOG.info(
        "machine phase changed: machine={} from={} to={} reason=\"{}\"",
        machine.name(),
        machine.phase(),
        next,
        reason);
    machine.changePhase(next, nowMicros);
    requestPlacement();
  }

  /**
   * Withdraws a job's failures from all machines, since the job is at fault or was cancelled: they
   * are no evidence against the machines. Ends the quarantines that rested on them.
   *
   * <p>Guards against healthy machines that stay quarantined because jobs with an error of their
   * own ran there.
   */
  public void withdrawFailures(Job job, String reason, long nowMicros) {
    if (!job.backoff().hasEverFailed()) {
      return;
    }
    for (Machine machine : machines.values()) {
      if (machine.failures().withdraw(job.id(), nowMicros)) {
        LOG.info(
            "machine quarantine ended: machine={} failing_job={} reason=\"{}\"",
            machine.name(),
            job.id(),
            reason);
        resumePlacementOn(machine, nowMicros);
      }
    }
  }

  /**
   * Makes a machine available for tasks again if it drains only because it was quarantined.
   *
   * <p>Guards against a machine whose quarantine ends after its drain has begun: it received no
   * tasks, and was never released while a replica ran there.
   */
  public void resumePlacementOn(Machine machine, long nowMicros) {
    if (machine.phase() == MachinePhase.DRAINING && machine.reclaimAt() < 0) {
      changePhase(machine, MachinePhase.UP, "quarantine ended", nowMicros);
    }
    requestPlacement();
  }

  /** Removes a machine that is proven gone, and unbinds its tasks. */
  public void removeMachine(Machine machine, String reason, long nowMicros) {
    unbindAll(machine, reason, nowMicros);
    LOG.info("machine removed: machine={} reason=\"{}\"", machine.name(), reason);
    machine.changePhase(MachinePhase.GONE, nowMicros);
    machines.remove(machine.name());
    machinesToCommand.remove(machine);
    sortedMachines.remove(machine);
    requestPlacement();
  }

  /** Records that a task has completed, on any machine. */
  public void markDone(Job job, int index) {
    if (job.markDone(index)) {
      job.backoff().recordSuccess();
      requestPlacement();
    }
  }

  /** Marks a task to be stopped. A task that the worker cannot have started is unbound at once. */
  public void stop(Task task, String reason, long nowMicros) {
    switch (task.phase()) {
      case ASSIGNED -> {
        if (task.mayStartUnasked()) {
          markStopping(task, reason, nowMicros);
        } else {
          unbind(task, reason, nowMicros);
        }
      }
      case STARTING, PULLING, RUNNING -> markStopping(task, reason, nowMicros);
      case STOPPING, GONE -> {
        // already stopping or gone
      }
    }
  }

  private void markStopping(Task task, String reason, long nowMicros) {
    LOG.debug(
        "task stopping: task={} machine={} reason=\"{}\"",
        task.name(),
        task.machine().name(),
        reason);
    task.changePhase(TaskPhase.STOPPING, nowMicros);
    machinesToCommand.add(task.machine());
  }
}
