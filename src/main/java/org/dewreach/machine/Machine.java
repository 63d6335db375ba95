package org.dewreach.machine;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.dewreach.task.Task;
import org.dewreach.wire.JobRequest;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.TaskName;
import org.dewreach.wire.Urgency;

/** A machine, with the tasks that are bound to it. */
public final class Machine {
  /** Answers in a row that did not arrive, from which a machine is taken for deaf. Ours. */
  private static final int DEAF_AFTER = 2;

  /** An image that a task needed here. */
  private record Image(double gb, boolean fetched) {}

  private final String name;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final Map<TaskName, Task> tasks = new LinkedHashMap<>();
  private final Set<String> erredJobs = new HashSet<>();
  private final Map<String, Image> images = new LinkedHashMap<>();
  private final boolean commandedBefore;
  private MachinePhase phase;
  private String address;
  private boolean recorded;
  private long session = -1;
  private long sequence = -1;
  private long lastReport;
  private long lastAnswer;
  private long knownSince;
  private long idleSince;
  private long recallAt = -1;
  private double usedCpus;
  private double usedGpus;
  private double usedMemoryGb;
  private final int[] boundByUrgency = new int[Urgency.values().length];
  private int errors;
  private long setAsideAt = -1;
  private boolean retiring;
  private boolean everUp;
  private long refusedAt = Long.MIN_VALUE / 2;
  private final LongOpenHashSet directAttempts = new LongOpenHashSet();
  private final Set<TaskName> directTasks = new HashSet<>();
  private boolean directInFlight;
  private long directAgainAt;
  private boolean unreached;
  private boolean accountedFor;
  private boolean toProve;
  private int unheeded;
  private Anew anew = Anew.NO;

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
    this.zone = zone;
    this.spot = spot;
    this.phase = phase;
    this.commandedBefore = phase == MachinePhase.UNHEARD;
    this.knownSince = nowMicros;
    this.idleSince = nowMicros;
    this.lastReport = nowMicros;
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

  public String name() {
    return name;
  }

  public String address() {
    return address;
  }

  public void address(String newAddress) {
    address = newAddress;
  }

  public MachineType type() {
    return type;
  }

  public String zone() {
    return zone;
  }

  public boolean spot() {
    return spot;
  }

  public MachinePhase phase() {
    return phase;
  }

  /** True if a leader of an earlier term may have sent it commands that are still on their way. */
  public boolean commandedBefore() {
    return commandedBefore;
  }

  /**
   * Nobody rented or listed it, as far as this leader knows: a report of it may be a late copy from
   * a machine that is gone, so only one that shows our own token is believed.
   */
  public void toProve() {
    toProve = true;
  }

  public boolean hasToProve() {
    return toProve;
  }

  /** True once it is known what is left of the tasks that earlier leaders started there. */
  public boolean accountedFor() {
    return accountedFor;
  }

  public void markAccountedFor() {
    accountedFor = true;
  }

  /** Whether its worker may have begun anew. */
  public Anew anew() {
    return anew;
  }

  public void anew(Anew now) {
    anew = now;
  }

  /** Counts reports in a row that show that our last answer did not arrive; 0 if it did. */
  public void heeded(boolean arrived) {
    unheeded = arrived ? 0 : unheeded + 1;
  }

  /** Its reports arrive, but answers and commands do not reach it: it is given nothing new. */
  public boolean deaf() {
    return unheeded >= DEAF_AFTER;
  }

  public boolean recorded() {
    return recorded;
  }

  public void recorded(boolean now) {
    recorded = now;
  }

  public long session() {
    return session;
  }

  public long sequence() {
    return sequence;
  }

  public long lastReport() {
    return lastReport;
  }

  /** True if a report is newer than the last one taken. */
  public boolean isNewer(long reportSession, long reportSequence) {
    return reportSession > session || reportSession == session && reportSequence > sequence;
  }

  /** What it has told, in a report or in the answer to a direct command. */
  public void heard(long reportSession, long reportSequence) {
    if (reportSession != session) {
      directAttempts.clear();
      directTasks.clear();
    }
    session = reportSession;
    sequence = reportSequence;
  }

  /**
   * It reported by itself.
   *
   * <p>Answers to direct commands do not count. Guards against a machine that reaches no controller
   * while commands reach it: it would be given tasks again and again that end with each lease.
   */
  public void reported(long nowMicros) {
    lastReport = nowMicros;
    unreached = false;
  }

  /**
   * A command had no answer, and nothing was heard since: it may be cut off or hang.
   *
   * <p>Guards against tasks that are given to a cut-off zone, where they are bound until its leases
   * are over, in the seconds before its silence shows.
   */
  public void notReached() {
    unreached = true;
  }

  /** When a report was last answered with 200 under our term: the worker's lease runs from it. */
  public long lastAnswer() {
    return lastAnswer;
  }

  public void answered(long nowMicros) {
    lastAnswer = nowMicros;
  }

  public long knownSince() {
    return knownSince;
  }

  public void knownSince(long micros) {
    knownSince = micros;
  }

  public long idleSince() {
    return idleSince;
  }

  public long recallAt() {
    return recallAt;
  }

  public void recallAt(long micros) {
    recallAt = micros;
  }

  /** True if it is to run empty, since the others have room enough. */
  public boolean retiring() {
    return retiring;
  }

  public void retiring(boolean now) {
    retiring = now;
  }

  /** True if it is taken for faulty: it is given nothing new. */
  public boolean setAside() {
    return setAsideAt >= 0;
  }

  /** When it was set aside. */
  public long setAsideAt() {
    return setAsideAt;
  }

  public void setAside(long nowMicros) {
    setAsideAt = nowMicros;
  }

  /** What failed here failed elsewhere too. */
  public void notSetAside() {
    setAsideAt = -1;
    errors = 0;
  }

  /** When its worker last refused a start that the books said would fit. */
  public long refusedAt() {
    return refusedAt;
  }

  public void refusedAt(long nowMicros) {
    refusedAt = nowMicros;
  }

  /** An attempt that its worker must not forget in this session. */
  public void startedDirectly(TaskName task, long attempt) {
    directAttempts.add(attempt);
    directTasks.add(task);
  }

  /**
   * True if an attempt of the task was started directly in this session.
   *
   * <p>Guards against a late copy of that start: a later attempt here could take the place of the
   * one that the worker still knows, and the copy would then run beside it elsewhere.
   */
  public boolean hadDirectStart(TaskName task) {
    return directTasks.contains(task);
  }

  public boolean wasStartedDirectly(long attempt) {
    return directAttempts.contains(attempt);
  }

  public int directStarts() {
    return directAttempts.size();
  }

  public boolean directInFlight() {
    return directInFlight;
  }

  public void directInFlight(boolean now) {
    directInFlight = now;
  }

  /** No direct command before this time: the last one had no answer. */
  public long directAgainAt() {
    return directAgainAt;
  }

  public void directAgainAt(long micros) {
    directAgainAt = micros;
  }

  /** True if the image is there, as far as we have seen, or on its way for another task. */
  public boolean hasImage(String image) {
    return images.containsKey(image);
  }

  /**
   * Time until a task's image would be here, with the images that are still to be fetched sharing
   * the machine's rate.
   */
  public long fetchMicros(JobRequest spec) {
    Image known = images.get(spec.image());
    if (known != null && known.fetched()) {
      return 0;
    }
    double gb = known == null ? spec.imageGb() : 0;
    for (Image image : images.values()) {
      gb += image.fetched() ? 0 : image.gb();
    }
    return type.fetchGbPerS() > 0 ? Math.round(gb / type.fetchGbPerS() * 1e6) : 0;
  }

  /** A task runs, so its image is here. */
  public void fetched(JobRequest spec) {
    images.put(spec.image(), new Image(spec.imageGb(), true));
  }

  /** A task needs the image here; the machine keeps the most recently used ones. */
  private void useImage(JobRequest spec) {
    Image known = images.remove(spec.image());
    images.put(spec.image(), known != null ? known : new Image(spec.imageGb(), false));
    double sum = 0;
    for (Image image : images.values()) {
      sum += image.gb();
    }
    while (sum > type.cacheGb() && images.size() > 1) {
      sum -= images.remove(images.keySet().iterator().next()).gb();
    }
  }

  /** A fetch that no task waits for any more is given up. */
  private void dropFetch(String image) {
    Image known = images.get(image);
    if (known == null || known.fetched()) {
      return;
    }
    for (Task task : tasks.values()) {
      if (task.spec().image().equals(image)) {
        return;
      }
    }
    images.remove(image);
  }

  /** Jobs whose tasks failed here since a task last completed here. */
  public Set<String> erredJobs() {
    return erredJobs;
  }

  /** Tasks that failed here since one last completed. */
  public int errors() {
    return errors;
  }

  public void erred() {
    errors++;
  }

  /** A task completed here: what failed before says nothing about the machine. */
  public void worked() {
    errors = 0;
    erredJobs.clear();
  }

  public Collection<Task> tasks() {
    return tasks.values();
  }

  public Task task(TaskName taskName) {
    return tasks.get(taskName);
  }

  public void bind(Task task) {
    if (tasks.put(task.name(), task) != null) {
      throw new IllegalStateException(task.name() + " is bound to " + name + " already");
    }
    boundByUrgency[task.spec().urgency().ordinal()]++;
    usedCpus += task.spec().cpus();
    usedGpus += task.spec().gpus();
    usedMemoryGb += task.spec().memoryGb();
    useImage(task.spec());
  }

  public void unbind(Task task, long nowMicros) {
    if (!tasks.remove(task.name(), task)) {
      throw new IllegalStateException(task.name() + " is not bound to " + name);
    }
    boundByUrgency[task.spec().urgency().ordinal()]--;
    usedCpus -= task.spec().cpus();
    usedGpus -= task.spec().gpus();
    usedMemoryGb -= task.spec().memoryGb();
    dropFetch(task.spec().image());
    if (tasks.isEmpty()) {
      // Sums of decimal amounts keep a rest; an empty machine is free in full.
      usedCpus = 0;
      usedGpus = 0;
      usedMemoryGb = 0;
      idleSince = nowMicros;
    }
  }

  /** True if a task of lesser urgency is bound here. */
  public boolean hasLessUrgent(Urgency than) {
    for (Urgency urgency : Urgency.values()) {
      if (boundByUrgency[urgency.ordinal()] > 0 && than.above(urgency)) {
        return true;
      }
    }
    return false;
  }

  public double freeCpus() {
    return type.cpus() - usedCpus;
  }

  public double freeGpus() {
    return type.gpus() - usedGpus;
  }

  public double freeMemoryGb() {
    return type.memoryGb() - usedMemoryGb;
  }

  /** True if new tasks may be placed here. */
  public boolean usable() {
    return !retiring && usableOnceKept();
  }

  /** True if it could take new tasks once it were no longer to run empty. */
  public boolean usableOnceKept() {
    return phase == MachinePhase.UP
        && recorded
        && !setAside()
        && recallAt < 0
        && !unreached
        && !deaf()
        && anew != Anew.SURE;
  }
}
