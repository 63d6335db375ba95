package org.dewreach.controller;

import java.util.ArrayList;
import org.dewreach.heartbeat.DirectCommandSender;
import org.dewreach.heartbeat.HeartbeatHandler;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.membership.FleetManager;
import org.dewreach.membership.HandoverPolicy;
import org.dewreach.membership.RecoveryTracker;
import org.dewreach.membership.StalledRecovery;
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
import org.dewreach.state.DurabilityListener;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.state.LeaderlessJobImporter;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.state.RecoveryClock;
import org.dewreach.store.CommitQueue;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.JobKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One term of this node as leader, from winning the leader key to losing it. */
final class LeadershipTerm implements DurabilityListener {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipTerm.class);

  private static final long PROGRESS_INTERVAL_MICROS = 250_000;

  /** Phases of a term. */
  enum Phase {
    /** Loading the cluster state that earlier leaders stored. */
    LOADING,
    /** Some machine of an earlier term has sent no heartbeat: tasks of old jobs are not started. */
    RECOVERING,
    /** Every machine of earlier terms is accounted for. */
    ACTIVE,
    /** Over. */
    CLOSED
  }

  private final long number;
  private final Outbox outbox;
  private final MachineTypeCatalog catalog;
  private final LeadershipControl control;
  private final ClusterState clusterState;
  private final CommitQueue queue;
  private final JobRecordWriter recordWriter;
  private final MachineRegistry registry;
  private final ClusterStateLoader loader;
  private final RecoveryTracker recovery;
  private final RecoveryClock recoveryClock;
  private final StalledRecovery stalledRecovery;
  private final CancellationGate cancellationGate;
  private final HeartbeatHandler heartbeatHandler;
  private final LeaderlessJobImporter jobImporter;
  private final JobRequestHandler requestHandler;
  private final LeaseDelegations delegations;
  private final FleetManager fleet;
  private final HandoverPolicy handoverPolicy;
  private final PlacementLoop placement;
  private final DirectCommandSender commandSender;
  private final TermReporter reporter;
  private Phase phase = Phase.LOADING;
  private boolean hadAuthority;
  private long authoritySince;
  private long nextProgressAt;

  /**
   * A term that has read nothing yet.
   *
   * @param number the term's number, which is also its fencing token
   */
  LeadershipTerm(long number, NodeServices services, LeadershipControl control, long nowMicros) {
    this.number = number;
    this.outbox = services.outbox();
    this.catalog = services.catalog();
    this.control = control;
    TermComponents components =
        new TermComponents(
            number,
            services,
            control,
            new TermComponents.Callbacks(
                this, this::onImportFailed, this::onDirectReply, () -> phase == Phase.CLOSED),
            nowMicros);
    this.clusterState = components.clusterState;
    this.queue = components.queue;
    this.recordWriter = components.recordWriter;
    this.registry = components.registry;
    this.loader = components.loader;
    this.recovery = components.recovery;
    this.recoveryClock = components.recoveryClock;
    this.stalledRecovery = components.stalledRecovery;
    this.cancellationGate = components.cancellationGate;
    this.heartbeatHandler = components.heartbeatHandler;
    this.jobImporter = components.jobImporter;
    this.requestHandler = components.requestHandler;
    this.delegations = components.delegations;
    this.fleet = components.fleet;
    this.handoverPolicy = components.handoverPolicy;
    this.placement = components.placement;
    this.commandSender = components.commandSender;
    this.reporter = components.reporter;
  }

  private void become(Phase next) {
    LOG.info("term phase changed: term={} from={} to={}", number, phase, next);
    phase = next;
  }

  long number() {
    return number;
  }

  /** True once the cluster state is loaded. */
  boolean loaded() {
    return phase == Phase.RECOVERING || phase == Phase.ACTIVE;
  }

  void tick(long nowMicros) {
    if (phase == Phase.CLOSED) {
      return;
    }
    queue.tick(nowMicros);
    requestHandler.tick(nowMicros);
    if (phase == Phase.LOADING && !continueLoading(nowMicros)) {
      return;
    }
    if (control.hasAuthority(nowMicros)) {
      actAsLeader(nowMicros);
    }
  }

  /** Continues to load the cluster state; true once it is loaded. */
  private boolean continueLoading(long nowMicros) {
    loader.tick(nowMicros);
    if (!loader.done()) {
      return false;
    }
    become(Phase.RECOVERING);
    LOG.info(
        "cluster state loaded: term={} jobs={} machines={}",
        number,
        clusterState.jobs().size(),
        clusterState.machines().size());
    recovery.start();
    updateRecovery(nowMicros);
    return true;
  }

  /** Does what only a leader with authority may do. */
  private void actAsLeader(long nowMicros) {
    delegations.onAuthorityGained(nowMicros);
    if (!hadAuthority) {
      hadAuthority = true;
      authoritySince = nowMicros;
      // Guards against leases counted from before an earlier leader's last response: under grants
      // it continues until this one may act.
      fleet.onAuthorityGained(nowMicros);
    }
    if (phase == Phase.RECOVERING) {
      updateRecovery(nowMicros);
    }
    if (phase == Phase.RECOVERING) {
      stalledRecovery.tick(authoritySince, nowMicros);
    } else {
      recoveryClock.noteFinished(nowMicros);
    }
    catalog.saveIfRefreshed(queue, nowMicros);
    registry.tick(nowMicros);
    jobImporter.tick(nowMicros);
    placement.tick(phase == Phase.ACTIVE, nowMicros);
    boolean everyTaskKnown = phase == Phase.ACTIVE || clusterState.machines().isEmpty();
    fleet.tick(nowMicros, placement.unplaced(), everyTaskKnown);
    if (handoverPolicy.shouldGiveUpLead(nowMicros)) {
      // Guards against a leader that keeps its key and receives no heartbeat until all leases
      // expire.
      LOG.info("no heartbeats reach this node, giving up the lead: term={}", number);
      control.resignUnreachable();
      return;
    }
    if (nowMicros >= nextProgressAt) {
      nextProgressAt = nowMicros + PROGRESS_INTERVAL_MICROS;
      advanceJobs(nowMicros);
    }
    reporter.tick(placement.unplaced(), nowMicros);
  }

  /** Numbers for operators. */
  TermStats stats() {
    return reporter.stats(phase, placement.unplaced());
  }

  private void updateRecovery(long nowMicros) {
    if (recovery.update(nowMicros)) {
      become(Phase.ACTIVE);
      recordWriter.allowFinalizingCancelled();
      clusterState.requestPlacement();
    }
  }

  private void advanceJobs(long nowMicros) {
    for (Job job : new ArrayList<>(clusterState.jobs().values())) {
      recordWriter.writeIfDue(job, nowMicros);
      if (phase == Phase.CLOSED) {
        return;
      }
      if (job.phase() == JobPhase.CANCEL_REQUESTED) {
        requestHandler.onStillStopping(job, nowMicros);
      }
    }
  }

  /** Responds to a node that asks for how long it may renew leases should it lose contact. */
  DelegationResponse onDelegationRequest(DelegationRequest request, long nowMicros) {
    String zone = delegations.zoneOf(request.node());
    return delegations.onRequest(
        request, zone == null ? 0 : delegableMicros(zone, nowMicros), nowMicros);
  }

  /** Until when this node itself may renew its zone's leases, should it lose its authority. */
  long delegateToSelf(String zone, long nowMicros) {
    long until = nowMicros + delegableMicros(zone, nowMicros);
    delegations.delegateToSelf(until);
    return until;
  }

  private long delegableMicros(String zone, long nowMicros) {
    return loaded() ? cancellationGate.delegableMicros(zone, nowMicros) : 0;
  }

  /** Handles a heartbeat that this node received as the leader. */
  void onHeartbeat(long requestId, Heartbeat heartbeat, long nowMicros) {
    // Guards against leases renewed without knowing which jobs were cancelled: until the cluster
    // state is loaded, no heartbeat is answered here. An outage that began in that moment would
    // last as long as grants do, and with it the tasks of a cancelled job whose machine had hung.
    if (!loaded() || !control.hasAuthority(nowMicros) || heartbeat.token() > number) {
      outbox.respond(requestId, HttpStatus.UNAVAILABLE, null);
      return;
    }
    heartbeatHandler.onHeartbeat(requestId, heartbeat, nowMicros);
  }

  /** Handles the reply to a direct command; no commands are sent back, and no lease is renewed. */
  private void onDirectReply(Machine machine, Heartbeat heartbeat, long nowMicros) {
    if (phase != Phase.CLOSED && control.hasAuthority(nowMicros)) {
      heartbeatHandler.onDirectReply(machine, heartbeat, nowMicros);
    }
  }

  /** Handles a user's request as the leader. */
  void onUserRequest(UserRequest request, Responder responder, long nowMicros) {
    if (!loaded() || !control.hasAuthority(nowMicros)) {
      responder.respondRetry(RetryReason.NO_AUTHORITY);
    } else {
      requestHandler.handle(request, responder, nowMicros);
    }
  }

  @Override
  public void onAccepted(Job job, long nowMicros) {
    LOG.info("job accepted: job={} tasks={}", job.id(), job.spec().tasks());
    if (job.spec().jobKind() == JobKind.SERVICE) {
      clusterState.serviceRate().arrived(job.spec(), nowMicros);
    }
    clusterState.requestPlacement();
    requestHandler.onAccepted(job);
  }

  private void onImportFailed(String jobId) {
    requestHandler.onImportFailed(jobId);
  }

  @Override
  public void onCancelled(Job job, long nowMicros) {
    LOG.info("job cancelled: job={}", job.id());
    requestHandler.onCancelled(job);
  }

  @Override
  public void onEnded(Job job, long nowMicros) {
    LOG.info("job ended: job={} state={}", job.id(), job.finalState());
    clusterState.removeJob(job);
    requestHandler.onEnded(job);
  }

  @Override
  public void onMachinesRegistered(long nowMicros) {
    clusterState.requestPlacement();
  }

  @Override
  public void onRecordConflict(String reason, long nowMicros) {
    LOG.error("records do not match, giving up the lead: term={} reason=\"{}\"", number, reason);
    control.onKeyLost();
  }

  /** Ends the term; users who wait are told to retry. */
  void close(long nowMicros) {
    if (phase == Phase.CLOSED) {
      return;
    }
    become(Phase.CLOSED);
    loader.close();
    recoveryClock.close();
    jobImporter.close();
    fleet.close();
    commandSender.close();
    queue.close(nowMicros);
    requestHandler.close();
  }
}
