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
  private final ImageCache images;
  private final ResourceUsage used = new ResourceUsage();
  private final boolean commandedByEarlierTerm;
  private MachinePhase phase;
  private String address;
  private boolean recorded;
  private long knownSince;
  private long idleSince;
  private long reclaimAt = -1;
  private boolean cordoned;
  private boolean everUp;
  private long refusedAt = Long.MIN_VALUE / 2;
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
    this.images = new ImageCache(type.cacheGb(), type.fetchGbPerS());
    this.zone = zone;
    this.spot = spot;
    this.phase = phase;
    this.commandedByEarlierTerm = phase == MachinePhase.UNKNOWN;
    this.knownSince = nowMicros;
    this.idleSince = nowMicros;
    this.heartbeats = new HeartbeatState(nowMicros);
  }

  /** The one function for every change of state. */
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

  /** Its worker told where it takes commands. */
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
   * Nobody rented or listed it, as far as this leader knows: a report of it may be a late copy from
   * a machine that is gone, so only one that shows our own token is believed.
   */
  public void requireToken() {
    requireToken = true;
  }

  /** True if only a report that shows our own token is believed. */
  public boolean requiresToken() {
    return requireToken;
  }

  /** True once it is known what is left of the tasks that earlier leaders started there. */
  public boolean reconciled() {
    return reconciled;
  }

  /** It is known what is left of the tasks of earlier leaders. */
  public void markReconciled() {
    reconciled = true;
  }

  /** True if it is recorded durably: it may be given commands. */
  public boolean recorded() {
    return recorded;
  }

  /** Sets whether it is recorded durably. */
  public void recorded(boolean now) {
    recorded = now;
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

  /** Since when it is known of. */
  public long knownSince() {
    return knownSince;
  }

  /** Sets since when it is known of. */
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

  /** True if it is to run empty, since the others have room enough. */
  public boolean cordoned() {
    return cordoned;
  }

  /** Sets whether it is to run empty. */
  public void cordoned(boolean now) {
    cordoned = now;
  }

  /** The tasks that failed here, and whether it is taken for faulty. */
  public FailureHistory failures() {
    return failures;
  }

  /** True if it is taken for faulty: it is given nothing new. */
  public boolean quarantined() {
    return failures.quarantined();
  }

  /** When its worker last refused a start that the cluster state said would fit. */
  public long refusedAt() {
    return refusedAt;
  }

  /** Its worker refused a start. */
  public void refusedAt(long nowMicros) {
    refusedAt = nowMicros;
  }

  /** What was sent straight to its worker in this incarnation. */
  public DirectCommands directCommands() {
    return directCommands;
  }

  /** True if the image is there, as far as we have seen, or on its way for another task. */
  public boolean hasImage(String image) {
    return images.has(image);
  }

  /**
   * Time until a task's image would be here, with the images that are still to be fetched sharing
   * the machine's rate.
   */
  public long fetchMicros(JobSpec spec) {
    return images.fetchMicros(spec);
  }

  /** A task runs, so its image is here. */
  public void recordImageFetched(JobSpec spec) {
    images.recordFetched(spec);
  }

  /** The tasks bound to it. */
  public Collection<Task> tasks() {
    return tasks.values();
  }

  /** The task of that name, or null if it is not bound here. */
  public Task task(TaskName taskName) {
    return tasks.get(taskName);
  }

  /** Binds a task. */
  public void bind(Task task) {
    if (tasks.put(task.name(), task) != null) {
      throw new IllegalStateException(task.name() + " is bound to " + name + " already");
    }
    used.add(task.spec());
    images.use(task.spec());
  }

  /** A task is proven gone. */
  public void unbind(Task task, long nowMicros) {
    if (!tasks.remove(task.name(), task)) {
      throw new IllegalStateException(task.name() + " is not bound to " + name);
    }
    used.remove(task.spec());
    images.release(task.spec().image(), this::needsImage);
    if (tasks.isEmpty()) {
      used.clear();
      idleSince = nowMicros;
    }
  }

  /** True if a task of lesser urgency is bound here. */
  public boolean hasTaskBelow(Priority than) {
    return used.hasTaskBelow(than);
  }

  private boolean needsImage(String image) {
    return tasks.values().stream().anyMatch(task -> task.spec().image().equals(image));
  }

  /** CPUs that no bound task takes. */
  public double freeCpus() {
    return type.cpus() - used.cpus();
  }

  /** GPUs that no bound task takes. */
  public double freeGpus() {
    return type.gpus() - used.gpus();
  }

  /** Memory that no bound task takes. */
  public double freeMemoryGb() {
    return type.memoryGb() - used.memoryGb();
  }

  /** True if new tasks may be placed here. */
  public boolean schedulable() {
    return !cordoned && schedulableOnceUncordoned();
  }

  /** True if it could take new tasks once it were no longer to run empty. */
  public boolean schedulableOnceUncordoned() {
    return phase == MachinePhase.UP
        && recorded
        && !quarantined()
        && reclaimAt < 0
        && !heartbeats.unreachable()
        && !heartbeats.missesReplies()
        && heartbeats.restartCheck() != RestartCheck.CONFIRMED;
  }
}
