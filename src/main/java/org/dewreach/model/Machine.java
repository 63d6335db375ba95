package org.dewreach.model;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.Priority;
import org.dewreach.wire.TaskName;

/** A machine, with the tasks that are bound to it. */
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
  private boolean requireToken;

  /**
   * A machine that nothing is bound to.
   *
   * @param phase how it was found; {@link MachinePhase#UNKNOWN} if an earlier leader recorded it
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

  /** Changes the state; nothing else does. */
  public void become(MachinePhase next, long nowMicros) {
    if (phase == MachinePhase.GONE) {
      throw new IllegalStateException(name + " is gone and cannot become " + next);
    }
    if (phase == next) {
      return;
    }
    // Back from being lost, it has been without tasks for long, which says nothing about now.
    if (next == MachinePhase.UP && (!everUp || phase == MachinePhase.LOST)) {
      everUp = true;
      idleSince = nowMicros;
    }
    phase = next;
  }

  /** Its unique name. */
  public String name() {
    return name;
  }

  /** Where its worker takes commands. */
  public String address() {
    return address;
  }

  /** Sets where its worker takes commands. */
  public void address(String newAddress) {
    address = newAddress;
  }

  /** Its type. */
  public MachineType type() {
    return type;
  }

  /** Its zone. */
  public String zone() {
    return zone;
  }

  /** True if the cloud may take it away. */
  public boolean spot() {
    return spot;
  }

  /** Its state. */
  public MachinePhase phase() {
    return phase;
  }

  /** True if a leader of an earlier term may have sent it commands that are still on their way. */
  public boolean commandedByEarlierTerm() {
    return commandedByEarlierTerm;
  }

  /**
   * Marks a machine that was neither rented nor listed, as far as this leader knows: a heartbeat of
   * it may be a late copy from a machine that is gone, so only one with this term's fencing token
   * is believed.
   */
  public void requireToken() {
    requireToken = true;
  }

  /** True if only a heartbeat with this term's fencing token is believed. */
  public boolean requiresToken() {
    return requireToken;
  }

  /** True once it is known which tasks of earlier leaders are left on it. */
  public boolean reconciled() {
    return reconciled;
  }

  /** Marks it as reconciled: it is known which tasks of earlier leaders are left on it. */
  public void markReconciled() {
    reconciled = true;
  }

  /** True if it is recorded durably: it may be given commands. */
  public boolean commandable() {
    return commandable;
  }

  /** Sets whether it is recorded durably. */
  public void commandable(boolean now) {
    commandable = now;
  }

  /** What its worker's heartbeats have told. */
  public HeartbeatState heartbeats() {
    return heartbeats;
  }

  /**
   * Records how far the worker's heartbeats have been taken, whether they came by themselves or
   * answered a direct command. A new incarnation knows nothing of earlier direct commands.
   */
  public void recordSequence(long incarnation, long sequence) {
    if (incarnation != heartbeats.incarnation()) {
      directCommands.onNewIncarnation();
    }
    heartbeats.recordSequence(incarnation, sequence);
  }

  /** Since when it is known. */
  public long knownSince() {
    return knownSince;
  }

  /** Sets since when it is known. */
  public void knownSince(long micros) {
    knownSince = micros;
  }

  /** Since when no task has been bound to it. */
  public long idleSince() {
    return idleSince;
  }

  /** When the cloud takes it away, or -1. */
  public long reclaimAt() {
    return reclaimAt;
  }

  /** Sets when the cloud takes it away. */
  public void reclaimAt(long micros) {
    reclaimAt = micros;
  }

  /** True if nothing new is placed on it, since the others have capacity enough. */
  public boolean cordoned() {
    return cordoned;
  }

  /** Sets whether nothing new is placed on it. */
  public void cordoned(boolean now) {
    cordoned = now;
  }

  /** The tasks that failed on it, and whether it is quarantined for them. */
  public FailureHistory failures() {
    return failures;
  }

  /** True if it is taken for faulty: nothing new is placed on it. */
  public boolean quarantined() {
    return failures.quarantined();
  }

  /** When its worker last refused a start that should have fitted by the cluster state. */
  public long startRefusedAt() {
    return startRefusedAt;
  }

  /** Sets when its worker refused a start. */
  public void startRefusedAt(long nowMicros) {
    startRefusedAt = nowMicros;
  }

  /** The commands that were sent straight to its worker in this incarnation. */
  public DirectCommands directCommands() {
    return directCommands;
  }

  /** True if the image is cached there, as far as is known, or being fetched for another task. */
  public boolean hasImage(String image) {
    return imageCache.has(image);
  }

  /**
   * Time until a task's image would be fetched, with the fetches in progress sharing the machine's
   * rate.
   */
  public long fetchMicros(JobSpec spec) {
    return imageCache.fetchMicros(spec);
  }

  /** Records that the job's image is cached: a task of it runs. */
  public void recordImageFetched(JobSpec spec) {
    imageCache.recordFetched(spec);
  }

  /** The tasks bound to it. */
  public Collection<Task> tasks() {
    return tasks.values();
  }

  /** The task of that name, or null if it is not bound to this machine. */
  public Task task(TaskName taskName) {
    return tasks.get(taskName);
  }

  /** Binds a task. */
  public void bind(Task task) {
    if (tasks.put(task.name(), task) != null) {
      throw new IllegalStateException(task.name() + " is bound to " + name + " already");
    }
    resourceUsage.add(task.spec());
    imageCache.use(task.spec());
  }

  /** Unbinds a task that is proven gone. */
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

  /** True if a task of a lower priority is bound to it. */
  public boolean hasTaskOfLowerPriority(Priority priority) {
    return resourceUsage.hasTaskOfLowerPriority(priority);
  }

  private boolean needsImage(String image) {
    return tasks.values().stream().anyMatch(task -> task.spec().image().equals(image));
  }

  /** CPUs that no bound task takes. */
  public double freeCpus() {
    return type.cpus() - resourceUsage.cpus();
  }

  /** GPUs that no bound task takes. */
  public double freeGpus() {
    return type.gpus() - resourceUsage.gpus();
  }

  /** Memory that no bound task takes. */
  public double freeMemoryGb() {
    return type.memoryGb() - resourceUsage.memoryGb();
  }

  /** True if new tasks may be placed on it. */
  public boolean schedulable() {
    return !cordoned && schedulableOnceUncordoned();
  }

  /** True if new tasks could be placed on it if it were not cordoned. */
  public boolean schedulableOnceUncordoned() {
    return phase == MachinePhase.UP
        && commandable
        && !quarantined()
        && reclaimAt < 0
        && !heartbeats.unreachable()
        && !heartbeats.missesResponses()
        && heartbeats.restartCheck() != RestartCheck.CONFIRMED;
  }
}
