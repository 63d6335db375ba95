package org.dewreach.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import org.dewreach.cloud.CloudClient;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.heartbeat.DirectCommandSender;
import org.dewreach.heartbeat.HeartbeatHandler;
import org.dewreach.history.FinalStates;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.membership.FleetManager;
import org.dewreach.membership.RecoveryTracker;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.peer.DelegationRequest;
import org.dewreach.peer.DelegationResponse;
import org.dewreach.port.Outbox;
import org.dewreach.request.JobRequestHandler;
import org.dewreach.request.Responder;
import org.dewreach.request.RetryReason;
import org.dewreach.request.UserRequest;
import org.dewreach.state.ClusterState;
import org.dewreach.state.ClusterStateLoader;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.state.LeaderlessJobImporter;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.ConditionalWrite;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.Mutation;
import org.dewreach.store.Precondition;
import org.dewreach.store.TokenBucket;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One term of this node as leader, from the winning of the key to its loss. */
final class LeadershipTerm implements JobRecordWriter.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipTerm.class);

  /** Share of the write rate; the rest is left to the election and to other nodes' writes. */
  private static final double WRITE_RATE_SHARE = 0.9;

  private static final long PROGRESS_INTERVAL_MICROS = 250_000;

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
  private final Outbox outbox;
  private final MachineTypeCatalog catalog;
  private final LongPredicate authority;
  private final Runnable onBroken;
  private final Runnable onCutOff;
  private final ClusterState clusterState;
  private final CommitQueue queue;
  private final JobRecordWriter recordWriter;
  private final MachineRegistry registry;
  private final ClusterStateLoader loader;
  private final RecoveryTracker recovery;
  private final CancellationGate cancellationGate;
  private final HeartbeatHandler heartbeatHandler;
  private final TermSummary summary;
  private final LeaderlessJobImporter jobImporter;
  private final JobRequestHandler users;
  private final LeaseDelegations delegations;
  private final FleetManager fleet;
  private final PlacementLoop placement;
  private final DirectCommandSender direct;
  private Phase phase = Phase.LOADING;
  private boolean acted;
  private long nextProgress;

  LeadershipTerm(
      long number,
      Outbox outbox,
      KeyValueStore state,
      CloudClient cloud,
      FinalStates finalStates,
      MachineTypeCatalog catalog,
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
    this.outbox = outbox;
    this.catalog = catalog;
    this.authority = authority;
    this.onBroken = onBroken;
    this.clusterState = new ClusterState(number, settings.teams(), tuning);
    this.queue = newCommitQueue(number, state, settings, onBroken);
    this.registry =
        new MachineRegistry(queue, settings.stateLimits().valueBytes(), wallOffsetMicros, this);
    this.delegations = new LeaseDelegations(number, settings, ownRenewalAt);
    this.fleet = newFleetManager(cloud, settings, tuning, nowMicros, wallOffsetMicros);
    this.recovery = new RecoveryTracker(clusterState, fleet);
    this.cancellationGate = new CancellationGate(clusterState, settings, delegations, recovery);
    this.recordWriter = new JobRecordWriter(queue, cancellationGate, this);
    this.loader = new ClusterStateLoader(state, clusterState, registry, catalog, wallOffsetMicros);
    this.jobImporter =
        new LeaderlessJobImporter(state, clusterState, recordWriter, this::onNotTakenOver);
    this.users =
        new JobRequestHandler(
            clusterState,
            recordWriter,
            jobImporter,
            state,
            finalStates,
            catalog,
            settings,
            wallOffsetMicros);
    this.direct =
        new DirectCommandSender(
            number,
            outbox,
            clusterState,
            this::onDirectReply,
            settings.limits().connectionsToWorkers());
    this.heartbeatHandler = newHeartbeatHandler();
    this.summary = new TermSummary(number, clusterState, queue);
    this.placement =
        new PlacementLoop(
            clusterState, fleet, recovery, direct, settings, tuning, wallOffsetMicros);
  }

  private static CommitQueue newCommitQueue(
      long number, KeyValueStore state, Settings settings, Runnable onBroken) {
    double writes = settings.stateLimits().writeRps() * WRITE_RATE_SHARE;
    return new CommitQueue(
        state,
        new Precondition(Keys.LEADER, number),
        settings.stateLimits().txnOps(),
        new TokenBucket(writes, writes),
        onBroken);
  }

  private FleetManager newFleetManager(
      CloudClient cloud, Settings settings, Tuning tuning, long nowMicros, long wallOffsetMicros) {
    return new FleetManager(
        number,
        clusterState,
        registry,
        delegations,
        cloud,
        catalog,
        settings,
        tuning,
        nowMicros,
        wallOffsetMicros);
  }

  private HeartbeatHandler newHeartbeatHandler() {
    return new HeartbeatHandler(
        number,
        outbox,
        clusterState,
        catalog,
        fleet,
        registry,
        recordWriter,
        () -> phase == Phase.CLOSED);
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

  void tick(long nowMicros) {
    if (phase == Phase.CLOSED) {
      return;
    }
    queue.tick(nowMicros);
    users.tick(nowMicros);
    if (phase == Phase.LOADING && !load(nowMicros)) {
      return;
    }
    if (authority.test(nowMicros)) {
      act(nowMicros);
    }
  }

  /** Goes on reading what earlier leaders left; true once that is read. */
  private boolean load(long nowMicros) {
    loader.tick(nowMicros);
    if (!loader.done()) {
      return false;
    }
    become(Phase.RECOVERING);
    LOG.info(
        "term {}: {} jobs, {} machines",
        number,
        clusterState.jobs().size(),
        clusterState.machines().size());
    recovery.start();
    updateRecovery(nowMicros);
    return true;
  }

  /** Does what only a leader with authority may do. */
  private void act(long nowMicros) {
    delegations.onAuthorityGained(nowMicros);
    if (!acted) {
      acted = true;
      // Guards against leases counted from before an earlier leader's last answer: under grants it
      // goes on until this one may act.
      fleet.onAuthorityGained(nowMicros);
    }
    if (phase == Phase.RECOVERING) {
      updateRecovery(nowMicros);
    }
    if (catalog.takeFromCloud()) {
      saveCatalog(nowMicros);
    }
    registry.tick(nowMicros);
    jobImporter.tick(nowMicros);
    placement.tick(phase == Phase.ACTIVE, nowMicros);
    boolean everyTaskKnown = phase == Phase.ACTIVE || clusterState.machines().isEmpty();
    fleet.tick(nowMicros, placement.waiting(), everyTaskKnown);
    if (fleet.partitionedFromWorkers()) {
      // Guards against a leader that holds its key and hears no worker until all leases are over.
      LOG.info("term {}: no worker is heard here, another node is to lead", number);
      onCutOff.run();
      return;
    }
    if (nowMicros >= nextProgress) {
      nextProgress = nowMicros + PROGRESS_INTERVAL_MICROS;
      pumpJobs(nowMicros);
    }
    summary.tick(placement.waiting(), nowMicros);
  }

  /** Numbers for operators. */
  void fill(ObjectNode node) {
    node.put("phase", phase.name());
    summary.fill(node, placement.waiting());
  }

  private void updateRecovery(long nowMicros) {
    if (recovery.update(nowMicros)) {
      become(Phase.ACTIVE);
      recordWriter.allowFinalizingCancelled();
      clusterState.requestPlacement();
    }
  }

  private void saveCatalog(long nowMicros) {
    queue.add(
        nowMicros,
        new ConditionalWrite(
            List.of(),
            List.of(new Mutation(Keys.CATALOG, MachineType.catalogNode(catalog.types()))),
            false,
            (now, outcome, revision) -> {}));
  }

  private void pumpJobs(long nowMicros) {
    for (Job job : new ArrayList<>(clusterState.jobs().values())) {
      recordWriter.pump(job, nowMicros);
      if (phase == Phase.CLOSED) {
        return;
      }
      if (job.phase() == JobPhase.CANCEL_REQUESTED) {
        users.onStillStopping(job, nowMicros);
      }
    }
  }

  // delegates

  /** A node asks for how long it may answer its zone's workers when it loses this one. */
  DelegationResponse onDelegationRequest(DelegationRequest request, long nowMicros) {
    String zone = delegations.zoneOf(request.node());
    return delegations.onRequest(
        request, zone == null ? 0 : delegableMicros(zone, nowMicros), nowMicros);
  }

  /** Until when this node itself may answer its zone's workers, should it lose its authority. */
  long delegateToSelf(String zone, long nowMicros) {
    long until = nowMicros + delegableMicros(zone, nowMicros);
    delegations.delegateToSelf(until);
    return until;
  }

  private long delegableMicros(String zone, long nowMicros) {
    return loaded() ? cancellationGate.delegableMicros(zone, nowMicros) : 0;
  }

  // Reports

  void report(long requestId, Heartbeat report, long nowMicros) {
    // Guards against leases kept alive without knowing which jobs were cancelled: until the cluster
    // state is read, no worker is answered here. An outage that began in that moment would last as
    // long as grants do, and with it the tasks of a cancelled job whose machine had hung.
    if (!loaded() || !authority.test(nowMicros) || report.token() > number) {
      outbox.respond(requestId, 503, null);
      return;
    }
    heartbeatHandler.onHeartbeat(requestId, report, nowMicros);
  }

  /** The answer to a direct command; it carries no orders back and extends no lease. */
  private void onDirectReply(Machine machine, Heartbeat report, long nowMicros) {
    if (phase != Phase.CLOSED && authority.test(nowMicros)) {
      heartbeatHandler.onDirectReply(machine, report, nowMicros);
    }
  }

  // Users

  void user(UserRequest request, Responder answer, long nowMicros) {
    if (!loaded() || !authority.test(nowMicros)) {
      answer.respondRetry(RetryReason.NO_AUTHORITY);
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
    clusterState.requestPlacement();
    users.onAccepted(job);
  }

  private void onNotTakenOver(String jobId) {
    users.onImportFailed(jobId);
  }

  @Override
  public void onCancelled(Job job, long nowMicros) {
    LOG.info("job {} withdrawn", job.id());
    users.onCancelled(job);
  }

  @Override
  public void onEnded(Job job, long nowMicros) {
    LOG.info("job {} over: {}", job.id(), job.finalState().word());
    clusterState.jobs().remove(job.id());
    users.onEnded(job);
  }

  @Override
  public void onMarked(long nowMicros) {
    clusterState.requestPlacement();
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
