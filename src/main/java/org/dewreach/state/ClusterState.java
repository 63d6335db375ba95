package org.dewreach.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.placement.Quotas;
import org.dewreach.placement.ServiceRate;
import org.dewreach.placement.SortFirstFit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's record of one term: jobs, machines and which task is bound where. */
public final class ClusterState {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

  private final long term;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final SortFirstFit list = new SortFirstFit();
  private final Quotas quotas;
  private final ServiceRate services;
  private final Set<Machine> machinesToCommand = new LinkedHashSet<>();
  private long lastAttempt;
  private boolean changed = true;

  public ClusterState(long term, Map<String, Settings.Team> teams, Tuning tuning) {
    this.services = new ServiceRate(tuning.headroomSpreads());
    this.term = term;
    this.quotas = new Quotas(teams);
  }

  public Map<String, Job> jobs() {
    return jobs;
  }

  public Map<String, Machine> machines() {
    return machines;
  }

  public SortFirstFit list() {
    return list;
  }

  public Quotas quotas() {
    return quotas;
  }

  /** Machines with tasks that were assigned or told to stop lately. */
  public Set<Machine> machinesToCommand() {
    return machinesToCommand;
  }

  public ServiceRate services() {
    return services;
  }

  /** CPUs that spot machines, or ordinary ones, have free for new tasks. */
  public double freeCpus(boolean spot) {
    double free = 0;
    for (Machine machine : list.machines()) {
      if (machine.spot() == spot && machine.schedulable()) {
        free += machine.freeCpus();
      }
    }
    return free;
  }

  /** Room or demand changed: placement should look again. */
  public void requestPlacement() {
    changed = true;
  }

  public boolean pollPlacementRequested() {
    boolean was = changed;
    changed = false;
    return was;
  }

  /** Never the same again: the term is part of it, and a term has one leader. */
  public long nextAttempt() {
    return (term << 24) + ++lastAttempt;
  }

  public void add(Machine machine) {
    machines.put(machine.name(), machine);
    list.add(machine);
    changed = true;
  }

  /** Binds a task to a machine; from here on it counts as being there. */
  public Task bind(
      Job job, int index, long attempt, Machine machine, TaskPhase phase, long nowMicros) {
    Task task = new Task(job, index, attempt, machine, phase, nowMicros);
    job.bind(task);
    machine.bind(task);
    list.updateCapacity(machine);
    if (phase == TaskPhase.ASSIGNED) {
      machinesToCommand.add(machine);
    }
    quotas.add(job.spec(), 1);
    LOG.debug("task {} attempt {} bound to {} as {}", task.name(), attempt, machine.name(), phase);
    return task;
  }

  /** The task is proven gone from its machine. */
  public void unbind(Task task, String why, long nowMicros) {
    LOG.debug(
        "task {} attempt {} gone from {}: {}",
        task.name(),
        task.attempt(),
        task.machine().name(),
        why);
    task.become(TaskPhase.GONE, nowMicros);
    task.machine().unbind(task, nowMicros);
    Job job = task.job();
    job.unbind(task);
    list.updateCapacity(task.machine());
    quotas.add(job.spec(), -1);
    changed = true;
  }

  /** Everything that was bound to the machine is proven gone. */
  public void unbindAll(Machine machine, String why, long nowMicros) {
    List<Task> tasks = new ArrayList<>(machine.tasks());
    if (!tasks.isEmpty()) {
      LOG.info("machine {}: {} tasks lost: {}", machine.name(), tasks.size(), why);
    }
    tasks.forEach(task -> unbind(task, why, nowMicros));
  }

  /** The machine is gone for sure, with everything on it. */
  public void gone(Machine machine, String why, long nowMicros) {
    unbindAll(machine, why, nowMicros);
    LOG.info("machine {} is gone: {}", machine.name(), why);
    machine.become(MachinePhase.GONE, nowMicros);
    machines.remove(machine.name());
    machinesToCommand.remove(machine);
    list.remove(machine);
    changed = true;
  }

  /** A task has completed, wherever that was. */
  public void markDone(Job job, int index) {
    if (job.markDone(index)) {
      job.backoff().recordSuccess();
      changed = true;
    }
  }

  /** Asks for a task to be stopped. A start that was never sent is simply taken back. */
  public void stop(Task task, String why, long nowMicros) {
    switch (task.phase()) {
      case ASSIGNED -> unbind(task, why, nowMicros);
      case STARTING, PULLING, RUNNING -> {
        LOG.debug("task {} to stop on {}: {}", task.name(), task.machine().name(), why);
        task.become(TaskPhase.STOPPING, nowMicros);
        machinesToCommand.add(task.machine());
      }
      case STOPPING, GONE -> {
        // on its way already
      }
    }
  }
}
