package org.dewreach.model;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.Priority;
import org.dewreach.wire.TaskName;

/** A machine in the leader's cluster state, with the tasks that are bound to it. */
public final class Machine {
  private final String name;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final Map<TaskName, Task> tasks = new LinkedHashMap<>();
  private final FailureHistory failures = new FailureHistory();
  private final HeartbeatState heartbeats;
  private final DirectCommands directCommands = new DirectCommands();
  private final ImageCache imageCache;
  private final ResourceUsage resourceUsage = new ResourceUsage();
  private final boolean commandedByEarlierTerm;
  private MachinePhase phase;
  private String address;
  private boolean commandable;
  private long knownSince;
  private long idleSince;
  private long reclaimAt = -1;
  private boolean cordoned;
  private boolean everUp;
  private long startRefusedAt = Long.MIN_VALUE / 2;
  private boolean reconciled;
  private boolean requiresToken;

  /**
   * Creates a machine without bound tasks.
   *
   * @param phase the initial phase; {@link MachinePhase#UNKNOWN} if an earlier leader registered
   *     the machine for commands
   */
  public Machine(
      String name,
      String address,
      MachineType type,
      String zone,
      boolean spot,
      MachinePhase phase,
      long nowMicros) {
    this.name = name;
    this.address = address;
    this.type = type;
    this.imageCache = new ImageCache(type.cacheGb(), type.fetchGbPerS());
    this.zone = zone;
    this.spot = spot;
    this.phase = phase;
    this.commandedByEarlierTerm = phase == MachinePhase.UNKNOWN;
    this.knownSince = nowMicros;
    this.idleSince = nowMicros;
    this.heartbeats = new HeartbeatState(nowMicros);
  }

  /** Changes the phase. No other method does; the phase GONE is final. */
  public void changePhase(MachinePhase next, long nowMicros) {
    if (phase == MachinePhase.GONE) {
      throw new IllegalStateException(name + " is gone and cannot change to " + next);
    }
    if (phase == next) {
      return;
    }
    // Idle time begins when the machine first comes up, and begins again when it returns from LOST:
    // the time that it spent lost, without tasks, must not count as idle time.
    if (next == MachinePhase.UP && (!everUp || phase == MachinePhase.LOST)) {
      everUp = true;
      idleSince = nowMicros;
    }
    phase = next;
  }

  /** Returns the machine's unique name. */
  public String name() {
    return name;
  }

  /** Returns the address at which the machine's worker accepts commands. */
  public String address() {
    return address;
  }

  /** Sets the address at which the machine's worker accepts commands. */
  public void address(String newAddress) {
    address = newAddress;
  }

  /** Returns the machine's type. */
  public MachineType type() {
    return type;
  }

  /** Returns the machine's zone. */
  public String zone() {
    return zone;
  }

  /** True if it is a spot machine, which the cloud may reclaim. */
  public boolean spot() {
    return spot;
  }

  /** Returns the machine's phase. */
  public MachinePhase phase() {
    return phase;
  }

  /**
   * True if a leader of an earlier term may have sent the machine commands that are still in
   * flight.
   */
  public boolean commandedByEarlierTerm() {
    return commandedByEarlierTerm;
  }

  /**
   * Accepts heartbeats of the machine only with this term's fencing token. Needed for a machine
   * that was neither rented nor listed as far as this leader knows: its heartbeat may be a late
   * copy from a machine that is gone.
   */
  public void requireToken() {
    requiresToken = true;
  }

  /** True if heartbeats of the machine are accepted only with this term's fencing token. */
  public boolean requiresToken() {
    return requiresToken;
  }

  /** True once it is known which tasks of earlier leaders are left on the machine. */
  public boolean reconciled() {
    return reconciled;
  }

  /** Marks the machine as reconciled: it is known which tasks of earlier leaders are left on it. */
  public void markReconciled() {
    reconciled = true;
  }

  /** True if the machine is durably registered for commands, so that commands may be sent to it. */
  public boolean commandable() {
    return commandable;
  }

  /** Sets whether the machine is durably registered for commands. */
  public void commandable(boolean newCommandable) {
    commandable = newCommandable;
  }

  /** Returns the state of the machine's worker as its heartbeats show it. */
  public HeartbeatState heartbeats() {
    return heartbeats;
  }

  /**
   * Records the incarnation and sequence number of the last heartbeat that was processed, whether
   * the worker sent it on its own or in reply to a direct command. A new incarnation has received
   * none of the earlier direct commands.
   */
  public void recordSequence(long incarnation, long sequence) {
    if (incarnation != heartbeats.incarnation()) {
      directCommands.onNewIncarnation();
    }
    heartbeats.recordSequence(incarnation, sequence);
  }

  /** Returns when the machine became known, by being rented or found. */
  public long knownSince() {
    return knownSince;
  }

  /** Sets when the machine became known. */
  public void knownSince(long micros) {
    knownSince = micros;
  }

  /** Returns since when no task has been bound to the machine. */
  public long idleSince() {
    return idleSince;
  }

  /** Returns when the cloud reclaims the machine, or -1 if no reclaim is announced. */
  public long reclaimAt() {
    return reclaimAt;
  }

  /** Sets when the cloud reclaims the machine, or -1 if no reclaim is announced. */
  public void reclaimAt(long micros) {
    reclaimAt = micros;
  }

  /**
   * True if the machine is cordoned: no new tasks are placed on it, because the other machines have
   * enough capacity.
   */
  public boolean cordoned() {
    return cordoned;
  }

  /** Sets whether the machine is cordoned. */
  public void cordoned(boolean newCordoned) {
    cordoned = newCordoned;
  }

  /** Returns the task failures on the machine, and whether it is quarantined for them. */
  public FailureHistory failures() {
    return failures;
  }

  /** True if the machine is presumed faulty, so that no new tasks are placed on it. */
  public boolean quarantined() {
    return failures.quarantined();
  }

  /**
   * Returns when the machine's worker last rejected a start for lack of capacity although the task
   * fits according to the cluster state.
   */
  public long startRefusedAt() {
    return startRefusedAt;
  }

  /** Sets when the machine's worker last rejected a start for lack of capacity. */
  public void startRefusedAt(long nowMicros) {
    startRefusedAt = nowMicros;
  }

  /**
   * Returns the commands that were sent directly to the machine's worker in its current
   * incarnation.
   */
  public DirectCommands directCommands() {
    return directCommands;
  }

  /** True if the image is known to be cached on the machine, or is being fetched for a task. */
  public boolean hasImage(String image) {
    return imageCache.has(image);
  }

  /**
   * Returns the time until the image of a task would be cached, given that the fetches in progress
   * share the machine's rate.
   */
  public long fetchMicros(JobSpec spec) {
    return imageCache.fetchMicros(spec);
  }

  /**
   * Records that the job's image is cached on the machine, because a task of the job runs there.
   */
  public void recordImageFetched(JobSpec spec) {
    imageCache.recordFetched(spec);
  }

  /** Returns the tasks that are bound to the machine. */
  public Collection<Task> tasks() {
    return tasks.values();
  }

  /** Returns the task with the name, or null if it is not bound to this machine. */
  public Task task(TaskName taskName) {
    return tasks.get(taskName);
  }

  /** Binds a task to the machine. */
  public void bind(Task task) {
    if (tasks.put(task.name(), task) != null) {
      throw new IllegalStateException(task.name() + " is already bound to " + name);
    }
    resourceUsage.add(task.spec());
    imageCache.use(task.spec());
  }

  /** Unbinds a task that is proven gone from the machine. */
  public void unbind(Task task, long nowMicros) {
    if (!tasks.remove(task.name(), task)) {
      throw new IllegalStateException(task.name() + " is not bound to " + name);
    }
    resourceUsage.remove(task.spec());
    imageCache.release(task.spec().image(), this::needsImage);
    if (tasks.isEmpty()) {
      resourceUsage.clear();
      idleSince = nowMicros;
    }
  }

  /** True if a task of a lower priority is bound to the machine. */
  public boolean hasTaskOfLowerPriority(Priority priority) {
    return resourceUsage.hasTaskOfLowerPriority(priority);
  }

  private boolean needsImage(String image) {
    return tasks.values().stream().anyMatch(task -> task.spec().image().equals(image));
  }

  /** Returns the number of CPUs that are not allocated to bound tasks. */
  public double freeCpus() {
    return type.cpus() - resourceUsage.cpus();
  }

  /** Returns the number of GPUs that are not allocated to bound tasks. */
  public double freeGpus() {
    return type.gpus() - resourceUsage.gpus();
  }

  /** Returns the memory, in GB, that is not allocated to bound tasks. */
  public double freeMemoryGb() {
    return type.memoryGb() - resourceUsage.memoryGb();
  }

  /** True if new tasks may be placed on the machine. */
  public boolean schedulable() {
    return !cordoned && schedulableOnceUncordoned();
  }

  /** True if new tasks could be placed on the machine if it were not cordoned. */
  public boolean schedulableOnceUncordoned() {
    return phase == MachinePhase.UP
        && commandable
        && mayTryTasks()
        && reclaimAt < 0
        && !heartbeats.unreachable()
        && !heartbeats.missesResponses()
        && heartbeats.restartCheck() != RestartCheck.CONFIRMED;
  }

  /**
   * True unless the machine is quarantined, or on probation with a new task that has yet to show
   * whether the machine works.
   */
  private boolean mayTryTasks() {
    return switch (failures.state()) {
      case NONE -> true;
      case QUARANTINED -> false;
      case PROBATION ->
          tasks.values().stream().noneMatch(task -> task.boundAt() >= failures.stateSince());
    };
  }
}
