package org.dewreach.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import org.dewreach.cloud.CloudService;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.fleet.FleetPlanner;
import org.dewreach.job.Job;
import org.dewreach.job.JobPhase;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.machine.Machine;
import org.dewreach.machine.MachinePhase;
import org.dewreach.placement.QueueOrder;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.port.Calls;
import org.dewreach.store.Change;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.Condition;
import org.dewreach.store.Keys;
import org.dewreach.store.RateBudget;
import org.dewreach.store.StateService;
import org.dewreach.store.Write;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One term of this node as leader, from the winning of the key to its loss. */
final class LeadershipTerm implements JobRecordWriter.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipTerm.class);

  /** Placement looks at changes that came close together in one pass. */
  private static final long PLACEMENT_INTERVAL_MICROS = 80_000;

  /** Jobs and machines up to which passes come that often. A default of this project. */
  private static final int FULL_RATE_MAX_ITEMS = 1_000;

  /** Time-dependent pauses end unnoticed by events, so a pass is made now and then anyway. */
  private static final long MAX_PLACEMENT_INTERVAL_MICROS = 500_000;

  /** How often it is looked at which machines are still to be accounted for. */
  private static final long ACCOUNT_INTERVAL_MICROS = 50_000;

  /** Named states of a term. */
  private enum Phase {
    /** Reading what earlier leaders left. */
    LOADING,
    /** Some machine of an earlier term was not heard: old jobs are not started. */
    RECOVERING,
    /** Every machine of earlier terms is accounted for. */
    ACTIVE,
    /** Over. */
    CLOSED
  }

  private final long number;
  private final Calls calls;
  private final StateService state;
  private final MachineCatalog catalog;
  private final LongPredicate authority;
  private final Runnable onBroken;
  private final Runnable onCutOff;
  private final ClusterState clusterState;
  private final CommitQueue queue;
  private final JobRecordWriter recordWriter;
  private final FleetRegister register;
  private final ClusterStateLoader loader;
  private final ReportHandler reports;
  private final LeaderlessJobImporter jobImporter;
  private final JobRequestHandler users;
  private final Settings settings;
  private final LeaseDelegations delegations;
  private final FleetManager fleet;
  private final Dispatcher dispatcher;
  private final DirectCommandSender direct;
  private final Preemption preemption;
  private Phase phase = Phase.LOADING;
  private boolean acted;
  private long lastPass;
  private long nextProgress;
  private long nextSummary;
  private long nextAccount;

  /** Machines of earlier terms that are not accounted for, while this term recovers. */
  private final List<Machine> unaccounted = new ArrayList<>();

  /** One of them of each kind: a job that may run on one may run on all of the kind. */
  private final Map<FleetPlanner.Kind, Machine> unaccountedKinds = new LinkedHashMap<>();

  private List<Dispatcher.Waiting> waiting = List.of();

  LeadershipTerm(
      long number,
      Calls calls,
      StateService state,
      CloudService cloud,
      MachineCatalog catalog,
      Settings settings,
      Tuning tuning,
      LongPredicate authority,
      Runnable onBroken,
      Runnable onCutOff,
      LongSupplier ownRenewalAt,
      long nowMicros,
      long wallOffsetMicros) {
    this.onCutOff = onCutOff;
    this.number = number;
    this.calls = calls;
    this.state = state;
    this.catalog = catalog;
    this.authority = authority;
    this.onBroken = onBroken;
    this.clusterState = new ClusterState(number, settings.teams(), tuning);
    double writes = settings.stateLimits().writeRps();
    this.queue =
        new CommitQueue(
            state,
            new Condition(Keys.LEADER, number),
            settings.stateLimits().txnOps(),
            // A tenth is left to the election and to what other nodes may write.
            new RateBudget(writes * 0.9, writes * 0.9),
            onBroken);
    this.recordWriter = new JobRecordWriter(queue, this::goneInTime, this);
    this.register =
        new FleetRegister(queue, settings.stateLimits().valueBytes(), wallOffsetMicros, this);
    this.loader = new ClusterStateLoader(state, clusterState, register, catalog, wallOffsetMicros);
    this.reports = new ReportHandler(number, clusterState);
    this.jobImporter =
        new LeaderlessJobImporter(state, clusterState, recordWriter, this::onNotTakenOver);
    this.users =
        new JobRequestHandler(
            clusterState, recordWriter, jobImporter, state, catalog, settings, wallOffsetMicros);
    this.settings = settings;
    this.delegations = new LeaseDelegations(number, settings, ownRenewalAt);
    this.fleet =
        new FleetManager(
            number,
            clusterState,
            register,
            delegations,
            cloud,
            catalog,
            settings,
            tuning,
            nowMicros,
            wallOffsetMicros);
    this.preemption = new Preemption(clusterState);
    this.direct =
        new DirectCommandSender(
            number,
            calls,
            clusterState,
            this::directReport,
            settings.limits().connectionsToWorkers());
    this.dispatcher =
        new Dispatcher(
            clusterState,
            new QueueOrder(settings.teams(), settings.objectives()),
            settings.objectives(),
            tuning,
            wallOffsetMicros);
  }

  private void become(Phase next) {
    LOG.info("term {}: {} -> {}", number, phase, next);
    phase = next;
  }

  long number() {
    return number;
  }

  /** True once it can serve. */
  boolean loaded() {
    return phase == Phase.RECOVERING || phase == Phase.ACTIVE;
  }

  ClusterState clusterState() {
    return clusterState;
  }

  void tick(long nowMicros) {
    if (phase == Phase.CLOSED) {
      return;
    }
    queue.tick(nowMicros);
    users.tick(nowMicros);
    if (phase == Phase.LOADING) {
      loader.tick(nowMicros);
      if (!loader.done()) {
        return;
      }
      become(Phase.RECOVERING);
      LOG.info(
          "term {}: {} jobs, {} machines",
          number,
          clusterState.jobs().size(),
          clusterState.machines().size());
      unaccounted.addAll(clusterState.machines().values());
      account(nowMicros);
    }
    if (!authority.test(nowMicros)) {
      return;
    }
    delegations.onAuthorityGained(nowMicros);
    if (!acted) {
      acted = true;
      // Guards against leases counted from before an earlier leader's last answer: under grants it
      // goes on until this one may act.
      fleet.onAuthorityGained(nowMicros);
    }
    if (phase == Phase.RECOVERING) {
      account(nowMicros);
    }
    if (catalog.takeFromCloud()) {
      saveCatalog(nowMicros);
    }
    register.tick(nowMicros);
    jobImporter.tick(nowMicros);
    place(nowMicros);
    fleet.tick(nowMicros, waiting, phase == Phase.ACTIVE || clusterState.machines().isEmpty());
    if (fleet.cutOff()) {
      // Guards against a leader that holds its key and hears no worker until all leases are over.
      LOG.info("term {}: no worker is heard here, another node is to lead", number);
      onCutOff.run();
      return;
    }
    if (nowMicros >= nextProgress) {
      nextProgress = nowMicros + 250_000;
      pumpJobs(nowMicros);
    }
    summarize(nowMicros);
  }

  private void summarize(long nowMicros) {
    if (nowMicros < nextSummary) {
      return;
    }
    nextSummary = nowMicros + 10_000_000;
    int tasks = 0;
    int up = 0;
    double cpus = 0;
    double free = 0;
    for (Machine machine : clusterState.machines().values()) {
      tasks += machine.tasks().size();
      if (machine.phase() == MachinePhase.UP) {
        up++;
        cpus += machine.type().cpus();
        free += machine.freeCpus();
      }
    }
    int queued = 0;
    for (Dispatcher.Waiting item : waiting) {
      queued += item.tasks();
    }
    LOG.info(
        "term {}: {} jobs, {} machines ({} up, {} of {} CPUs free), {} tasks bound, {} waiting,"
            + " {} writes queued",
        number,
        clusterState.jobs().size(),
        clusterState.machines().size(),
        up,
        free,
        cpus,
        tasks,
        queued,
        queue.waiting());
  }

  /** Numbers for operators. */
  void fill(ObjectNode node) {
    int tasks = 0;
    for (Machine machine : clusterState.machines().values()) {
      tasks += machine.tasks().size();
    }
    int queued = 0;
    for (Dispatcher.Waiting item : waiting) {
      queued += item.tasks();
    }
    node.put("phase", phase.name()).put("jobs", clusterState.jobs().size());
    node.put("machines", clusterState.machines().size()).put("tasks_bound", tasks);
    node.put("tasks_waiting", queued).put("writes_queued", queue.waiting());
  }

  /**
   * Drops the machines of which it has become known what earlier terms left there; it stays known.
   *
   * <p>Guards against a pass over all machines for each event: while a thousand of them report to a
   * leader that has just started, that took half of its time.
   */
  private void account(long nowMicros) {
    if (nowMicros < nextAccount) {
      return;
    }
    nextAccount = nowMicros + ACCOUNT_INTERVAL_MICROS;
    unaccounted.removeIf(machine -> !mayRunUnseen(machine, nowMicros));
    unaccountedKinds.clear();
    for (Machine machine : unaccounted) {
      unaccountedKinds.putIfAbsent(
          new FleetPlanner.Kind(machine.type(), machine.zone(), machine.spot()), machine);
    }
    if (unaccounted.isEmpty()) {
      become(Phase.ACTIVE);
      recordWriter.allowFinishingWithdrawn();
      clusterState.touch();
    }
  }

  /** True if tasks of earlier terms may run there that we do not know of. */
  private boolean mayRunUnseen(Machine machine, long nowMicros) {
    // One that is in no record was never given commands: it may be a late copy's ghost.
    boolean open = machine.commandedBefore() && !machine.accountedFor();
    return switch (machine.phase()) {
      case UNHEARD, GREETED -> open;
      case RETURNING -> open && !fleet.leaseSurelyOver(machine, nowMicros);
      case BOOTING, UP, LOST, DRAINING, GONE -> false;
    };
  }

  /**
   * True if no task of the job can run unseen. While some machines of earlier terms are not
   * accounted for, that holds for jobs of this term, and for those that were allowed on none of
   * these machines: services need not wait for what became of spot machines.
   */
  private boolean allSeen(Job job) {
    return job.ofThisTerm()
        || unaccountedKinds.values().stream()
            .noneMatch(machine -> SortFirstFit.permitted(job.spec(), machine));
  }

  private void saveCatalog(long nowMicros) {
    queue.add(
        nowMicros,
        new Write(
            List.of(),
            List.of(new Change(Keys.CATALOG, MachineType.catalogNode(catalog.types()))),
            false,
            (now, outcome, revision) -> {}));
  }

  private void place(long nowMicros) {
    boolean due = nowMicros - lastPass >= MAX_PLACEMENT_INTERVAL_MICROS;
    if (nowMicros - lastPass < passEvery() || !(clusterState.takeChanged() || due)) {
      return;
    }
    lastPass = nowMicros;
    waiting = dispatcher.pass(nowMicros, this::allSeen, fleet.bootMicros());
    if (phase == Phase.ACTIVE) {
      preemption.evictIdleConnection(waiting, nowMicros);
    }
    direct.send(nowMicros);
  }

  /** A pass looks at all jobs and machines: the more there are, the more changes share one. */
  private long passEvery() {
    int looked = clusterState.jobs().size() + clusterState.machines().size();
    return Math.min(
        MAX_PLACEMENT_INTERVAL_MICROS,
        Math.max(
            PLACEMENT_INTERVAL_MICROS, PLACEMENT_INTERVAL_MICROS * looked / FULL_RATE_MAX_ITEMS));
  }

  private void pumpJobs(long nowMicros) {
    for (Job job : new ArrayList<>(clusterState.jobs().values())) {
      recordWriter.pump(job, nowMicros);
      if (phase == Phase.CLOSED) {
        return;
      }
      if (job.phase() == JobPhase.HALTING) {
        users.onHalting(job, nowMicros);
      }
    }
  }

  // delegates

  /** A node asks for how long it may answer its zone's workers when it loses this one. */
  ObjectNode onDelegationRequest(JsonNode delegationRequest, long nowMicros) {
    String zone = delegations.zone(delegationRequest.path("node").asText());
    return delegations.onRequest(
        delegationRequest, zone == null ? 0 : delegableMicros(zone, nowMicros), nowMicros);
  }

  /** Until when this node itself may answer its zone's workers, should it lose its authority. */
  long delegateToSelf(String zone, long nowMicros) {
    long until = nowMicros + delegableMicros(zone, nowMicros);
    delegations.delegatedToSelf(until);
    return until;
  }

  /** For how long from now the workers of a zone may be answered without this leader. */
  private long delegableMicros(String zone, long nowMicros) {
    if (!loaded()) {
      return 0;
    }
    Settings.Workers workers = settings.workers();
    long delegatedMicros = workers.maxDelegationMicros();
    for (Job job : clusterState.jobs().values()) {
      // Its tasks must be gone in time even if no command reaches them any more: so once it is
      // told, and so that it can be told before long.
      long until =
          switch (job.phase()) {
            case HALTING -> job.withdrawAskedAt() + workers.maxDelegationMicros();
            case WITHDRAWING, WITHDRAWN -> job.withdrawnAt() + workers.goneInTimeMicros();
            // When a withdrawn job is being finished its tasks are gone.
            case ACCEPTING, LIVE, FINISHING, OVER -> Long.MAX_VALUE;
          };
      if (until - nowMicros < delegatedMicros && mayRunIn(job, zone)) {
        delegatedMicros = until - nowMicros;
      }
    }
    return Math.max(0, delegatedMicros);
  }

  private boolean mayRunIn(Job job, String zone) {
    return job.boundInZone(zone) > 0 || !allSeen(job);
  }

  /**
   * True if a withdrawal that is told now is kept, whoever answers the workers meanwhile: no task
   * starts any more, and those that run are gone in time.
   *
   * <p>Guards against a machine that goes on after it hung, or hears a start late: what was to
   * start there would begin after its user was told.
   */
  private boolean goneInTime(Job job, long nowMicros) {
    if (!allSeen(job) || job.mayBegin()) {
      return false;
    }
    long latest = nowMicros + Math.max(0, settings.workers().goneInTimeMicros());
    return settings.zones().stream()
        .noneMatch(zone -> mayRunIn(job, zone) && delegations.delegatedUntil(zone) > latest);
  }

  // Reports

  void report(long requestId, WorkerReport report, long nowMicros) {
    // Guards against leases kept alive without knowing which jobs were cancelled: until the cluster
    // state is read, no worker is answered here. An outage that began in that moment would last as
    // long as grants do, and with it the tasks of a cancelled job whose machine had hung.
    if (!loaded() || !authority.test(nowMicros) || report.token() > number) {
      calls.respond(requestId, 503, null);
      return;
    }
    Machine machine = clusterState.machines().get(report.machine());
    if (machine == null) {
      machine = met(report, nowMicros);
      if (machine == null) {
        calls.respond(requestId, 503, null);
        return;
      }
    }
    if (machine.phase() == MachinePhase.LOST && report.session() <= machine.session()) {
      // Held up on the way since before its lease was over.
      calls.respond(requestId, 503, null);
      return;
    }
    if (!machine.isNewer(report.session(), report.sequence())) {
      if (report.token() == 0 && machine.accountedFor()) {
        direct.askForCount(machine);
      }
      // Held up on the way, or passed by the answer to a direct command: nothing in it is news.
      if (fleet.isSilent(machine, nowMicros)) {
        // Only copies are left of it, or its worker restarted with an old count: an answer would
        // keep that alive without end.
        calls.respond(requestId, 503, null);
        return;
      }
      // The worker may still wait for the answer, and its lease counts from the sending.
      machine.answered(nowMicros);
      calls.respond(requestId, 200, noOrders());
      return;
    }
    register.mark(machine, nowMicros);
    var response = reports.take(machine, report, true, nowMicros);
    machine.answered(nowMicros);
    calls.respond(requestId, 200, response);
    pumpExited(report, nowMicros);
  }

  private ObjectNode noOrders() {
    ObjectNode answer = Codec.map().put("warrant", number);
    answer.putArray("orders");
    return answer;
  }

  /** The answer to a direct command; it carries no orders back and extends no lease. */
  private void directReport(Machine machine, WorkerReport report, long nowMicros) {
    if (phase != Phase.CLOSED
        && authority.test(nowMicros)
        && machine.phase() != MachinePhase.GONE
        && (machine.phase() != MachinePhase.LOST || report.session() > machine.session())
        && machine.isNewer(report.session(), report.sequence())) {
      if (report.session() > machine.session()) {
        // Guards against taking the lease of this session for over with that of the one before: it
        // began without any answer of ours, at the latest now.
        machine.answered(nowMicros);
      }
      reports.take(machine, report, false, nowMicros);
      pumpExited(report, nowMicros);
    }
  }

  private void pumpExited(WorkerReport report, long nowMicros) {
    for (WorkerReport.ReportedTask task : report.tasks()) {
      if (task.state() == WorkerReport.TaskState.EXITED) {
        Job job = clusterState.jobs().get(task.name().jobId());
        if (job != null) {
          recordWriter.pump(job, nowMicros);
          if (phase == Phase.CLOSED) {
            return;
          }
        }
      }
    }
  }

  /** A machine that nobody expected: a late rental, or one that the list does not show yet. */
  private Machine met(WorkerReport report, long nowMicros) {
    MachineType type = catalog.type(report.type());
    if (type == null || fleet.isGone(report.machine())) {
      return null;
    }
    LOG.info("machine {} met through its report", report.machine());
    Machine machine =
        new Machine(
            report.machine(),
            report.address(),
            type,
            report.zone(),
            report.spot(),
            MachinePhase.BOOTING,
            nowMicros);
    machine.toProve();
    clusterState.add(machine);
    return machine;
  }

  // Users

  void user(UserRequest request, Answer answer, long nowMicros) {
    if (!loaded() || !authority.test(nowMicros)) {
      answer.later();
    } else {
      users.handle(request, answer, nowMicros);
    }
  }

  @Override
  public void onAccepted(Job job, long nowMicros) {
    LOG.info("job {} accepted: {} tasks", job.id(), job.spec().tasks());
    if (job.spec().jobKind() == JobKind.SERVICE) {
      clusterState.services().arrived(job.spec(), nowMicros);
    }
    clusterState.touch();
    users.onAccepted(job);
  }

  private void onNotTakenOver(String jobId) {
    users.onNotTakenOver(jobId);
  }

  @Override
  public void onWithdrawn(Job job, long nowMicros) {
    LOG.info("job {} withdrawn", job.id());
    users.onWithdrawn(job);
  }

  @Override
  public void onOver(Job job, long nowMicros) {
    LOG.info("job {} over: {}", job.id(), job.finalState().word());
    clusterState.jobs().remove(job.id());
    users.onOver(job);
  }

  @Override
  public void onMarked(long nowMicros) {
    clusterState.touch();
  }

  @Override
  public void onBroken(String why, long nowMicros) {
    LOG.error("term {}: records do not match, giving up the lead: {}", number, why);
    onBroken.run();
  }

  void close(long nowMicros) {
    if (phase == Phase.CLOSED) {
      return;
    }
    become(Phase.CLOSED);
    loader.close();
    jobImporter.close();
    fleet.close();
    direct.close();
    queue.close(nowMicros);
    users.close();
  }
}
