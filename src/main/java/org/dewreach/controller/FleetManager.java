package org.dewreach.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.cloud.CloudService;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.fleet.FleetPlanner;
import org.dewreach.fleet.FleetPlanner.Kind;
import org.dewreach.fleet.FleetPlanner.Need;
import org.dewreach.fleet.FleetPlanner.Rental;
import org.dewreach.job.Job;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.machine.Machine;
import org.dewreach.machine.MachinePhase;
import org.dewreach.machine.RestartSuspicion;
import org.dewreach.placement.QueueOrder;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.task.Task;
import org.dewreach.task.TaskPhase;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobRequest;
import org.dewreach.wire.ListedMachine;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents, watches and returns machines. */
final class FleetManager {
  private static final Logger LOG = LoggerFactory.getLogger(FleetManager.class);

  private static final long ROUND_INTERVAL_MICROS = 1_000_000;

  /**
   * Room has to be there this long before a machine is let run empty. A default of this project.
   */
  private static final long SPARE_CAPACITY_PERIOD_MICROS = 10_000_000;

  /**
   * A machine with more of its CPUs taken by services would only run empty after long. A default of
   * this project.
   */
  private static final double MAX_SERVICE_SHARE = 0.4;

  private static final int MAX_RETIRED = 3;

  /**
   * Estimates are often wrong by half, so a task is given up only if it is this far off. A default
   * of this project.
   */
  private static final double HOPELESS_FACTOR = 1.6;

  /**
   * Of a large fleet, one machine in this many may start to run empty at a time. A default of this
   * project.
   */
  private static final int RETIRED_DIVISOR = 25;

  /**
   * Of a large fleet, one machine in this many may be given up early in a recovery. A default of
   * this project.
   */
  private static final int STRAGGLERS_DIVISOR = 40;

  private static final double MAX_MOVES_SAVED = 2;

  /** A service that began lately is not moved. A default of this project. */
  private static final long SETTLED_AFTER_MICROS = 45_000_000;

  /**
   * When many machines are lost at once, they are waited for this long. A default of this project.
   */
  private static final long LOST_MACHINE_KEPT_MICROS = 75_000_000;

  /** So many machines do not fall silent at once, unless it is us. A default of this project. */
  private static final int MIN_SILENT_FOR_PARTITION = 3;

  /** What a worker spends on a node that does not answer, with the pause before the next. */
  private static final long LOST_MACHINE_RETRY_MICROS = 5_000_000;

  private static final int MAX_RETURNED = 100;

  /**
   * A large fleet takes several calls of a small rate to list; reports tell most of it. A default
   * of this project.
   */
  private static final long LIST_INTERVAL_MICROS = 5_000_000;

  private static final int MAX_REMEMBERED = 4_000;
  private static final int MAX_RENT_TRIES = 4;

  /**
   * A machine that is set aside keeps its tasks for so long, in which it may be cleared. A default
   * of this project.
   */
  private static final long SUSPECT_MACHINE_GRACE_MICROS = 8_000_000;

  /**
   * It keeps them for this long while a job that failed there is still tried elsewhere. A default
   * of this project.
   */
  private static final long MAX_SUSPECT_MACHINE_TRIAL_MICROS = 60_000_000;

  /** A rental request on its way. */
  private static final class RentalRequest {
    final String name;
    final Rental rental;
    int tries;
    long nextTry;
    boolean inFlight;

    RentalRequest(String name, Rental rental) {
      this.name = name;
      this.rental = rental;
    }
  }

  private final long term;
  private final ClusterState clusterState;
  private final FleetRegister register;
  private final LeaseDelegations delegations;
  private final CloudService cloud;
  private final MachineCatalog catalog;
  private final Settings settings;
  private final Tuning tuning;
  private final QueueOrder order;
  private final Consolidation consolidation;
  private final FleetPlanner planner = new FleetPlanner();
  private final Map<String, RentalRequest> rentalRequests = new LinkedHashMap<>();
  private final Set<String> goneNames = new LinkedHashSet<>();
  private final Set<String> returning = new HashSet<>();
  private long startedAt;
  private final long wallOffsetMicros;
  private long lastRequest;
  private long spareCapacitySince;
  private double moveBudget;
  private long nextRound;
  private long nextList;
  private boolean listing;
  private int cutOffRounds;
  private boolean giving;
  private long giveAgainAt;
  private boolean closed;

  FleetManager(
      long term,
      ClusterState clusterState,
      FleetRegister register,
      LeaseDelegations delegations,
      CloudService cloud,
      MachineCatalog catalog,
      Settings settings,
      Tuning tuning,
      long nowMicros,
      long wallOffsetMicros) {
    this.term = term;
    this.clusterState = clusterState;
    this.register = register;
    this.delegations = delegations;
    this.cloud = cloud;
    this.catalog = catalog;
    this.settings = settings;
    this.tuning = tuning;
    this.order = new QueueOrder(settings.teams(), settings.objectives());
    this.consolidation = new Consolidation(clusterState);
    this.startedAt = nowMicros;
    this.wallOffsetMicros = wallOffsetMicros;
  }

  void close() {
    closed = true;
  }

  /** From now on, and not before, this leader alone answers workers. */
  void onAuthorityGained(long nowMicros) {
    startedAt = nowMicros;
  }

  /** True if the worker has surely killed all its tasks, or never had any. */
  boolean leaseSurelyOver(Machine machine, long nowMicros) {
    if (machine.restartSuspicion() != RestartSuspicion.NONE) {
      // A worker that restarted has a lease of its own, and takes late copies of our starts.
      return false;
    }
    long from = Math.max(startedAt, machine.lastAnswer());
    from = Math.max(from, delegations.answeredUntil(machine.zone(), nowMicros));
    long lease = settings.workers().leaseMicros();
    return nowMicros > from + lease + lease / 500 + 300_000;
  }

  private long silentAfter() {
    return Math.max(
        settings.workers().reportMicros() * 13 / 4, settings.workers().leaseMicros() * 45 / 100);
  }

  void tick(long nowMicros, List<Dispatcher.Waiting> waiting, boolean mayRent) {
    if (nowMicros < nextRound) {
      return;
    }
    nextRound = nowMicros + ROUND_INTERVAL_MICROS;
    watchSilent(nowMicros);
    drain(nowMicros);
    if (mayRent) {
      // Before all machines are accounted for, what looks idle may be needed in a moment.
      retire(nowMicros, waiting);
      move(nowMicros);
      consolidation.move(nowMicros);
      returnIdle(nowMicros);
      rent(nowMicros, waiting);
    }
    giveBack(nowMicros);
    list(nowMicros);
  }

  /** True if nothing new was heard of the machine for longer than reports take. */
  boolean isSilent(Machine machine, long nowMicros) {
    return nowMicros - Math.max(startedAt, machine.lastReport()) > silentAfter();
  }

  /**
   * True if it is this node that has lost the workers: hardly one of several is heard, or takes
   * answers. Another node may well have them.
   */
  boolean cutOff() {
    return cutOffRounds >= 2;
  }

  /**
   * Workers find a new leader within this time, also those that have to try all other nodes in
   * vain.
   *
   * <p>Guards against the only leader outside a cut zone that gives up before its workers have
   * found it: nobody led for ten seconds then, and nearly all leases ran out.
   */
  private long arrival() {
    long lastReport = settings.workers().reportMicros() * 5 / 4;
    return lastReport + settings.members().size() * LOST_MACHINE_RETRY_MICROS + 1_000_000;
  }

  private void watchSilent(long nowMicros) {
    List<Machine> silent = new ArrayList<>();
    List<Machine> missesReplies = new ArrayList<>();
    int heard = 0;
    int lost = 0;
    for (Machine machine : clusterState.machines().values()) {
      switch (machine.phase()) {
        case UNHEARD, GREETED, UP, DRAINING -> {
          boolean mayHaveRestarted =
              machine.restartSuspicion() == RestartSuspicion.CHECKING
                  && isSilent(machine, nowMicros);
          if (machine.restartSuspicion() == RestartSuspicion.CONFIRMED || mayHaveRestarted) {
            giveUp(machine, "its worker restarted", nowMicros);
          } else if (isSilent(machine, nowMicros)) {
            silent.add(machine);
          } else if (machine.missesReplies()) {
            missesReplies.add(machine);
          } else {
            heard++;
          }
        }
        case BOOTING -> {
          long patience = 3 * machine.type().bootMicros() + 30_000_000;
          if (nowMicros - machine.knownSince() > patience) {
            giveUp(machine, "never came up", nowMicros);
          }
        }
        case LOST -> {
          lost++;
          if (nowMicros - Math.max(startedAt, machine.lastReport()) > LOST_MACHINE_KEPT_MICROS) {
            giveUp(machine, "lost and not back", nowMicros);
          }
        }
        case RETURNING, GONE -> {
          // on its way already
        }
      }
    }
    int missed = missesReplies.size();
    int reached = 0;
    long quietAfter = 2 * settings.workers().reportMicros() + 500_000;
    for (Machine machine : clusterState.machines().values()) {
      boolean expected =
          machine.phase() == MachinePhase.UNHEARD
              || machine.phase() == MachinePhase.UP
              || machine.phase() == MachinePhase.DRAINING;
      if (expected && !machine.missesReplies()) {
        boolean quiet = nowMicros - Math.max(startedAt, machine.lastReport()) > quietAfter;
        if (quiet) {
          // What is placed there now would be bound until it is known what became of it.
          machine.notReached();
        }
        missed += quiet ? 1 : 0;
        reached += quiet ? 0 : 1;
      }
    }
    // Machines that have just come up may be heard all the same.
    boolean most = missed >= MIN_SILENT_FOR_PARTITION && missed >= 3 * reached;
    // Twice in a row: a process that was held up sees its backlog of reports in between.
    cutOffRounds = most && nowMicros > startedAt + arrival() ? cutOffRounds + 1 : 0;
    // When many fall silent at once it is rather us who are cut off: wait for the leases then. The
    // first of many to cross the limit are told by the others, which have been quiet for a while.
    // The lost ones count too: else, once some of a cut zone's leases are over, the rest of its
    // machines look like few and are returned, a moment before the zone is back.
    boolean few = missed + lost <= Math.max(2, reached / 3);
    giveUpStragglers(heard, nowMicros);
    silent.removeIf(machine -> machine.phase() == MachinePhase.RETURNING);
    for (Machine machine : silent) {
      if (leaseSurelyOver(machine, nowMicros)) {
        clusterState.unbindAll(machine, "its lease is over", nowMicros);
        machine.markAccountedFor();
        if (few) {
          giveUp(machine, "silent, lease over", nowMicros);
        } else {
          // Guards against renting a whole zone anew that is back within a minute, images and all.
          LOG.info("machine {} is lost", machine.name());
          machine.become(MachinePhase.LOST, nowMicros);
          clusterState.touch();
        }
      } else if (few) {
        giveUp(machine, "silent", nowMicros);
      }
    }
    if (few) {
      // Nothing placed there starts, and its session will end: the return is proof enough.
      missesReplies.forEach(machine -> giveUp(machine, "does not take answers", nowMicros));
    }
  }

  /**
   * The last few machines that a new leader has not heard hold up all jobs that may run there, so
   * they are given up sooner: returning them proves what their silence does not.
   */
  private void giveUpStragglers(int heard, long nowMicros) {
    if (nowMicros - startedAt < 2 * settings.workers().reportMicros() + 500_000) {
      return;
    }
    List<Machine> unheard = new ArrayList<>();
    for (Machine machine : clusterState.machines().values()) {
      if (machine.phase() == MachinePhase.UNHEARD) {
        unheard.add(machine);
      }
    }
    if (unheard.size() <= heard / STRAGGLERS_DIVISOR) {
      unheard.forEach(machine -> giveUp(machine, "not heard under this term", nowMicros));
    }
  }

  private void giveUp(Machine machine, String why, long nowMicros) {
    LOG.info("machine {} is to be returned: {}", machine.name(), why);
    machine.become(MachinePhase.RETURNING, nowMicros);
    clusterState.touch();
  }

  private void drain(long nowMicros) {
    for (Machine machine : List.copyOf(clusterState.machines().values())) {
      boolean faulty = surelyFaulty(machine, nowMicros);
      boolean leaving = machine.recallAt() >= 0 || faulty;
      if (!leaving || machine.phase() == MachinePhase.RETURNING) {
        continue;
      }
      if (machine.phase() == MachinePhase.UP) {
        LOG.info("machine {} drains: {}", machine.name(), faulty ? "set aside" : "to be taken");
        machine.become(MachinePhase.DRAINING, nowMicros);
        clusterState.touch();
      }
      if (machine.phase() != MachinePhase.DRAINING) {
        continue;
      }
      if (machine.recallAt() >= 0) {
        for (Task task : List.copyOf(machine.tasks())) {
          boolean saves = task.spec().checkpointMicros() > 0;
          long lead = task.spec().saveMicros() + 2 * settings.workers().reportMicros();
          // What cannot save may still complete before the machine is taken. What surely will not
          // had better begin anew elsewhere now than once it is lost.
          if (task.spec().jobKind() == JobKind.SERVICE
              || saves && nowMicros + lead > machine.recallAt()
              || !saves && hopeless(task, machine.recallAt() - nowMicros, nowMicros)) {
            clusterState.stop(task, "its machine is to be taken", nowMicros);
          }
        }
      }
      if (machine.tasks().isEmpty()) {
        giveUp(machine, "drained", nowMicros);
      }
    }
  }

  /**
   * True if the jobs that failed on a machine that is set aside have been tried elsewhere.
   *
   * <p>Guards against healthy machines returned for jobs that take a while to fail: the second
   * failure, which shows that it is the job, comes no sooner than the first one did.
   */
  private boolean surelyFaulty(Machine machine, long nowMicros) {
    if (!machine.setAside()) {
      return false;
    }
    boolean onTrial =
        machine.faults().jobs().stream()
            .map(clusterState.jobs()::get)
            .anyMatch(job -> job != null && job.unproven());
    return nowMicros - machine.faults().setAsideAt()
        > (onTrial ? MAX_SUSPECT_MACHINE_TRIAL_MICROS : SUSPECT_MACHINE_GRACE_MICROS);
  }

  /** True if a task has far more left to run, by its owner's estimate, than the time given. */
  private static boolean hopeless(Task task, long leftMicros, long nowMicros) {
    boolean running = task.phase() == TaskPhase.RUNNING;
    long ran = running ? nowMicros - task.startedAt() : 0;
    return task.spec().expectedMicros() - ran > HOPELESS_FACTOR * Math.max(0, leftMicros);
  }

  /** Typical time until a machine rented now is of use. */
  long bootMicros() {
    long longest = 0;
    for (MachineType type : catalog.types()) {
      longest = Math.max(longest, type.bootMicros());
    }
    return longest + 5_000_000;
  }

  /**
   * Lets a few machines at a time run empty when the others have had room enough for their tasks
   * for a while. The dearest goes first, among equals the last of the list, which fills last.
   */
  private void retire(long nowMicros, List<Dispatcher.Waiting> waiting) {
    if (!waiting.isEmpty()) {
      spareCapacitySince = nowMicros;
      for (Machine machine : clusterState.machines().values()) {
        if (machine.retiring() && machine.phase() == MachinePhase.UP) {
          LOG.info("machine {} is needed again", machine.name());
          machine.retiring(false);
          clusterState.touch();
        }
      }
      return;
    }
    if (nowMicros - spareCapacitySince <= SPARE_CAPACITY_PERIOD_MICROS) {
      if (spareMachine(nowMicros) == null) {
        spareCapacitySince = nowMicros;
      }
      return;
    }
    int most = Math.max(MAX_RETIRED, clusterState.machines().size() / RETIRED_DIVISOR);
    for (int i = 0; i < most; i++) {
      Machine spare = spareMachine(nowMicros);
      if (spare == null) {
        break;
      }
      LOG.info("machine {} is to run empty", spare.name());
      spare.retiring(true);
    }
    spareCapacitySince = nowMicros - SPARE_CAPACITY_PERIOD_MICROS / 2;
  }

  /** The dearest machine, among equals the last of the list, whose work has room elsewhere. */
  private Machine spareMachine(long nowMicros) {
    double ordinary = clusterState.freeCpus(false);
    double spot = clusterState.freeCpus(true);
    double headroom = clusterState.services().headroomCpus(bootMicros(), nowMicros);
    Machine best = null;
    for (Machine machine : clusterState.list().machines()) {
      if (!machine.usable() || nowMicros - machine.knownSince() < tuning.leastPaidMicros()) {
        continue;
      }
      double services = 0;
      for (Task task : machine.tasks()) {
        services += task.spec().spot() ? 0 : task.spec().cpus();
      }
      // What it offers now, and the room that its tasks would take elsewhere.
      double capacity = machine.type().cpus();
      boolean freeCapacity =
          machine.spot()
              ? spot + ordinary - headroom >= capacity
              : ordinary - machine.freeCpus() - services >= headroom
                  && spot + ordinary - headroom >= capacity;
      if (freeCapacity
          && services <= capacity * MAX_SERVICE_SHARE
          && (best == null || pricePerCpu(machine) >= pricePerCpu(best) - 1e-9)) {
        best = machine;
      }
    }
    return best;
  }

  /**
   * Moves services off machines that would otherwise be kept for one or two of them. Each move
   * costs about a second of a replica's time, so only a small share of all replicas' time is spent.
   */
  private void move(long nowMicros) {
    int replicas = 0;
    for (Machine machine : clusterState.machines().values()) {
      for (Task task : machine.tasks()) {
        replicas += task.spec().jobKind() == JobKind.SERVICE ? 1 : 0;
      }
    }
    moveBudget =
        Math.min(
            MAX_MOVES_SAVED,
            moveBudget + replicas * tuning.movedShare() * ROUND_INTERVAL_MICROS / 1e6);
    clusterState.list().lookAgain();
    for (Machine machine : clusterState.machines().values()) {
      if (moveBudget < 1) {
        return;
      }
      if (!machine.retiring() || machine.phase() != MachinePhase.UP) {
        continue;
      }
      Task movable = movable(machine, nowMicros);
      if (movable != null) {
        moveBudget -= 1;
        clusterState.stop(movable, "moved, so that its machine can be returned", nowMicros);
        clusterState.touch();
      }
    }
  }

  /** A service of a machine that has nothing else, and that could start at once elsewhere. */
  private Task movable(Machine machine, long nowMicros) {
    Task found = null;
    for (Task task : machine.tasks()) {
      boolean settled =
          task.phase() == TaskPhase.RUNNING && nowMicros - task.startedAt() > SETTLED_AFTER_MICROS;
      if (task.spec().jobKind() != JobKind.SERVICE || task.spec().tasks() > 1 || !settled) {
        return null;
      }
      found = task;
    }
    if (found == null) {
      return null;
    }
    JobRequest spec = found.spec();
    Machine target =
        clusterState
            .list()
            .firstFit(
                spec, other -> SortFirstFit.permitted(spec, other) && other.fetchMicros(spec) == 0);
    return target == null ? null : found;
  }

  private static double pricePerCpu(Machine machine) {
    MachineType type = machine.type();
    return (machine.spot() ? type.spotPrice() : type.price()) / Math.max(1, type.cpus());
  }

  private void returnIdle(long nowMicros) {
    for (Machine machine : clusterState.machines().values()) {
      long kept = machine.retiring() ? 0 : tuning.idleKeptMicros();
      if (machine.phase() == MachinePhase.UP
          && machine.tasks().isEmpty()
          && nowMicros - machine.idleSince() > kept
          && nowMicros - machine.knownSince() > tuning.leastPaidMicros()) {
        giveUp(machine, "idle", nowMicros);
      }
    }
  }

  private void giveBack(long nowMicros) {
    if (giving || nowMicros < giveAgainAt || !cloud.mayCall(nowMicros)) {
      return;
    }
    List<String> names = new ArrayList<>();
    for (Machine machine : clusterState.machines().values()) {
      if (machine.phase() == MachinePhase.RETURNING && names.size() < MAX_RETURNED) {
        names.add(machine.name());
      }
    }
    if (names.isEmpty()) {
      return;
    }
    giving = true;
    cloud.giveBack(
        nowMicros,
        names,
        (now, status, body) -> {
          if (closed) {
            return;
          }
          giving = false;
          if (status != 200) {
            giveAgainAt = now + 1_000_000;
            return;
          }
          for (String name : names) {
            Machine machine = clusterState.machines().get(name);
            if (machine != null) {
              forget(machine, "returned", now);
            }
          }
        });
  }

  private void forget(Machine machine, String why, long nowMicros) {
    clusterState.gone(machine, why, nowMicros);
    register.forget(machine, nowMicros);
    goneNames.add(machine.name());
    if (goneNames.size() > MAX_REMEMBERED) {
      goneNames.remove(goneNames.iterator().next());
    }
  }

  /** A machine that was returned may still be listed, or heard of, for a while. */
  boolean isGone(String name) {
    return goneNames.contains(name);
  }

  private void rent(long nowMicros, List<Dispatcher.Waiting> waiting) {
    for (RentalRequest request : List.copyOf(rentalRequests.values())) {
      if (!request.inFlight && nowMicros >= request.nextTry && cloud.mayCall(nowMicros)) {
        send(request, nowMicros);
      }
    }
    if (catalog.types().isEmpty() || rentalRequests.size() >= 6) {
      return;
    }
    double batchCpus = 0;
    for (Machine machine : clusterState.machines().values()) {
      boolean counts =
          machine.phase() == MachinePhase.UP || machine.phase() == MachinePhase.BOOTING;
      if (counts && machine.spot()) {
        batchCpus += machine.type().cpus();
      } else if (counts) {
        batchCpus += machine.freeCpus();
        for (Task task : machine.tasks()) {
          batchCpus += task.spec().spot() ? task.spec().cpus() : 0;
        }
      }
    }
    double backlog = 0;
    double patience = 0;
    for (Dispatcher.Waiting item : waiting) {
      JobRequest spec = item.job().spec();
      if (spec.spot()) {
        double work = item.tasks() * spec.cpus() * (spec.expectedMicros() / 1e6 + 3);
        backlog += work;
        patience += work * patienceS(item.job(), nowMicros);
      }
    }
    boolean longBacklog = backlog > 0 && backlog > batchCpus * patience / backlog;
    List<Need> needs = new ArrayList<>();
    for (Dispatcher.Waiting item : waiting) {
      int tasks = worthRenting(item, nowMicros);
      if (tasks > 0) {
        Job job = item.job();
        needs.add(new Need(job.spec(), tasks, slackMicros(job, nowMicros), job.boundInZones()));
      }
    }
    if (needs.isEmpty()) {
      return;
    }
    List<Kind> requestedKinds = new ArrayList<>();
    for (RentalRequest request : rentalRequests.values()) {
      requestedKinds.addAll(Collections.nCopies(request.rental.count(), request.rental.kind()));
    }
    for (Rental rental :
        planner.plan(
            needs,
            clusterState.machines().values(),
            requestedKinds,
            catalog.types(),
            longBacklog,
            nowMicros)) {
      if (rentalRequests.size() < 6 && cloud.mayCall(nowMicros)) {
        // The term makes the name unique among leaders, the counter within the term.
        RentalRequest request = new RentalRequest("dw-" + term + "-" + ++lastRequest, rental);
        rentalRequests.put(request.name, request);
        send(request, nowMicros);
      }
    }
  }

  /** How many of the waiting tasks are worth a machine of their own, rather than a wait. */
  private int worthRenting(Dispatcher.Waiting item, long nowMicros) {
    Job job = item.job();
    JobRequest spec = job.spec();
    if (spec.jobKind() == JobKind.SERVICE) {
      return item.tasks();
    }
    long horizon = tuning.workOffMicros();
    long allowed = order.allowedMicros(spec);
    if (allowed >= 0) {
      long dueAt = job.acceptedWallMicros() - wallOffsetMicros + allowed;
      horizon = Math.max(spec.expectedMicros(), (dueAt - nowMicros) / 2);
    }
    horizon = Math.max(horizon, 15_000_000);
    // In floating point: the owner's estimate may be anything.
    double work = (double) job.pending() * (spec.expectedMicros() + 3_000_000);
    int slots = (int) Math.min(job.pending(), Math.ceil(work / horizon));
    return Math.min(item.tasks(), Math.max(0, slots - job.bound().size()));
  }

  private long slackMicros(Job job, long nowMicros) {
    long allowed = order.allowedMicros(job.spec());
    long dueAt = job.acceptedWallMicros() - wallOffsetMicros + allowed;
    return allowed < 0 ? Long.MAX_VALUE / 4 : dueAt - nowMicros - job.spec().expectedMicros();
  }

  /** How long work can wait for machines that are there: half of the time that it has left. */
  private double patienceS(Job job, long nowMicros) {
    long allowed = order.allowedMicros(job.spec());
    if (allowed < 0) {
      return (tuning.longWaitMicros() / 1e6);
    }
    long dueAt = job.acceptedWallMicros() - wallOffsetMicros + allowed;
    double spare = (dueAt - nowMicros - job.spec().expectedMicros()) / 2e6;
    return Math.max(10, Math.min((tuning.longWaitMicros() / 1e6), spare));
  }

  private void send(RentalRequest request, long nowMicros) {
    Rental rental = request.rental;
    Kind kind = rental.kind();
    request.inFlight = true;
    request.tries++;
    LOG.info(
        "renting {} {}{} in {} as {}",
        rental.count(),
        kind.spot() ? "spot " : "",
        kind.type().name(),
        kind.zone(),
        request.name);
    cloud.rent(
        nowMicros,
        request.name,
        kind.type().name(),
        kind.zone(),
        kind.spot(),
        rental.count(),
        (now, status, body) -> {
          if (closed) {
            return;
          }
          request.inFlight = false;
          if (status == 200) {
            onRented(request, body, now);
          } else if (status == 503 && body != null && "trouble".equals(body.path("error").asText())
              || status == 429
              || status == 0) {
            // Carried out or not: the same name again gives the same machines.
            request.nextTry = now + 1_500_000;
            if (request.tries >= MAX_RENT_TRIES) {
              rentalRequests.remove(request.name);
            }
          } else {
            LOG.info("renting {} refused: {}", request.name, status);
            planner.refused(kind, now);
            rentalRequests.remove(request.name);
          }
        });
  }

  private void onRented(RentalRequest request, JsonNode body, long nowMicros) {
    rentalRequests.remove(request.name);
    Kind kind = request.rental.kind();
    int count = 0;
    for (JsonNode host : body.path("hosts")) {
      count++;
      String name = host.asText();
      if (!clusterState.machines().containsKey(name) && !isGone(name)) {
        Machine machine =
            new Machine(
                name, "", kind.type(), kind.zone(), kind.spot(), MachinePhase.BOOTING, nowMicros);
        clusterState.add(machine);
        register.note(machine, nowMicros);
      }
    }
    LOG.info("rented {} of {} as {}", count, request.rental.count(), request.name);
    if (count < request.rental.count()) {
      planner.refused(kind, nowMicros);
    } else {
      planner.granted(kind);
    }
  }

  private void list(long nowMicros) {
    if (listing || nowMicros < nextList || !cloud.mayCall(nowMicros)) {
      return;
    }
    listing = true;
    nextList = nowMicros + Math.max(LIST_INTERVAL_MICROS, settings.cloudLimits().listLagMicros());
    page(null, nowMicros);
  }

  private void page(String after, long nowMicros) {
    cloud.list(
        nowMicros,
        after,
        (now, status, body) -> {
          if (closed) {
            return;
          }
          listing = false;
          if (status != 200) {
            return;
          }
          try {
            ListedMachine.Page page = ListedMachine.parsePage(body);
            page.machines().forEach(machine -> onListed(machine, now));
            if (page.more() && !page.machines().isEmpty()) {
              listing = true;
              page(page.machines().get(page.machines().size() - 1).name(), now);
            }
          } catch (MalformedException e) {
            LOG.error("machine list not understood: {}", e.getMessage());
          }
        });
  }

  private void onListed(ListedMachine listed, long nowMicros) {
    if (isGone(listed.name())) {
      return;
    }
    Machine machine = clusterState.machines().get(listed.name());
    if (machine == null) {
      MachineType type = catalog.type(listed.type());
      if (type == null) {
        return;
      }
      LOG.info("machine {} found in the list", listed.name());
      machine =
          new Machine(
              listed.name(),
              listed.address(),
              type,
              listed.zone(),
              listed.spot(),
              MachinePhase.BOOTING,
              nowMicros);
      machine.knownSince(nowMicros - listed.ageMicros());
      clusterState.add(machine);
      register.note(machine, nowMicros);
    }
    if (listed.failed() && machine.phase() != MachinePhase.RETURNING) {
      clusterState.unbindAll(machine, "it failed", nowMicros);
      giveUp(machine, "failed", nowMicros);
    }
  }
}
