package org.dewreach.controller;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.peer.DelegationRequest;
import org.dewreach.peer.DelegationResponse;
import org.dewreach.port.Outbox;
import org.dewreach.request.Responder;
import org.dewreach.request.RetryReason;
import org.dewreach.request.UserRequest;
import org.dewreach.scheduling.UnplacedTasks;
import org.dewreach.state.DurabilityListener;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.JobKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One term of this controller as leader, from the write of the leader key to its loss. */
final class LeadershipTerm implements DurabilityListener {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipTerm.class);

  private static final long JOB_ADVANCE_INTERVAL_MICROS = 250_000;

  /** The phases of a term. */
  enum Phase {
    /** Loading the cluster state that earlier terms stored. */
    LOADING,
    /**
     * Some machine of an earlier term has sent no heartbeat yet: tasks of jobs from earlier terms
     * are not started.
     */
    RECOVERING,
    /** Every machine of earlier terms is reconciled. */
    ACTIVE,
    /** The term has ended. */
    CLOSED
  }

  private final long number;
  private final Outbox outbox;
  private final MachineTypeCatalog catalog;
  private final LeadershipControl control;
  private final TermComponents components;
  private Phase phase = Phase.LOADING;
  private boolean hadAuthority;
  private long authoritySince;
  private long nextJobAdvanceAt;

  /**
   * Creates a term that has not loaded any state yet.
   *
   * @param number the number of the term, which is also its fencing token
   */
  LeadershipTerm(
      long number, ControllerServices services, LeadershipControl control, long nowMicros) {
    this.number = number;
    this.outbox = services.outbox();
    this.catalog = services.catalog();
    this.control = control;
    this.components =
        new TermComponents(
            number,
            services,
            control,
            new TermComponents.Callbacks(
                this, this::onImportFailed, this::onDirectReply, () -> phase == Phase.CLOSED),
            nowMicros);
  }

  private void changePhase(Phase next) {
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
    components.queue.tick(nowMicros);
    components.requestHandler.tick(nowMicros);
    if (phase == Phase.LOADING && !continueLoading(nowMicros)) {
      return;
    }
    if (control.hasAuthority(nowMicros)) {
      actAsLeader(nowMicros);
    }
  }

  /** Continues to load the cluster state; returns true once it is loaded. */
  private boolean continueLoading(long nowMicros) {
    components.loader.tick(nowMicros);
    if (!components.loader.done()) {
      return false;
    }
    changePhase(Phase.RECOVERING);
    LOG.info(
        "cluster state loaded: term={} jobs={} machines={}",
        number,
        components.clusterState.jobs().size(),
        components.clusterState.machines().size());
    components.recovery.start();
    updateRecovery(nowMicros);
    return true;
  }

  /** Performs the periodic work that only a leader with authority may do. */
  private void actAsLeader(long nowMicros) {
    components.delegations.onAuthorityGained(nowMicros);
    if (!hadAuthority) {
      hadAuthority = true;
      authoritySince = nowMicros;
      // Guards against leases that are counted from before an earlier leader's last response: on
      // the basis of grants, that leader continues until this term may act.
      components.fleet.onAuthorityGained(nowMicros);
    }
    if (phase == Phase.RECOVERING) {
      updateRecovery(nowMicros);
    }
    if (phase == Phase.RECOVERING) {
      components.stalledRecovery.tick(authoritySince, nowMicros);
    } else {
      components.durationTracker.recordFinished(nowMicros);
    }
    catalog.saveIfRefreshed(components.queue, nowMicros);
    components.registry.tick(nowMicros);
    components.jobImporter.tick(nowMicros);
    components.placement.tick(phase == Phase.ACTIVE, nowMicros);
    boolean everyTaskKnown = phase == Phase.ACTIVE || components.clusterState.machines().isEmpty();
    components.fleet.tick(nowMicros, components.placement.unplaced(), everyTaskKnown);
    if (components.handoverPolicy.shouldStepDown(nowMicros)) {
      // Guards against a leader that keeps its key and receives no heartbeats until all worker
      // leases expire.
      LOG.info("no heartbeats reach this node, giving up the lead: term={}", number);
      control.handOverLeadership();
      return;
    }
    if (nowMicros >= nextJobAdvanceAt) {
      nextJobAdvanceAt = nowMicros + JOB_ADVANCE_INTERVAL_MICROS;
      advanceJobs(nowMicros);
    }
    tickReporters(nowMicros);
  }

  private void tickReporters(long nowMicros) {
    List<UnplacedTasks> unplaced = components.placement.unplaced();
    components.reporter.tick(unplaced, nowMicros);
    if (phase == Phase.RECOVERING) {
      components.recoveryReporter.tick(authoritySince, unplaced, nowMicros);
    }
  }

  /** Returns the statistics for operators. */
  TermStats stats() {
    return components.reporter.stats(phase, components.placement.unplaced());
  }

  private void updateRecovery(long nowMicros) {
    if (components.recovery.update(nowMicros)) {
      changePhase(Phase.ACTIVE);
      components.recordWriter.allowFinalizingCancelled();
      components.clusterState.requestPlacement();
    }
  }

  private void advanceJobs(long nowMicros) {
    for (Job job : new ArrayList<>(components.clusterState.jobs().values())) {
      components.recordWriter.writeIfDue(job, nowMicros);
      if (phase == Phase.CLOSED) {
        return;
      }
      if (job.phase() == JobPhase.CANCEL_REQUESTED) {
        components.requestHandler.onStillStopping(job, nowMicros);
      }
    }
  }

  /**
   * Responds to a controller that requests a delegation, by which it may renew leases if it loses
   * contact.
   */
  DelegationResponse onDelegationRequest(DelegationRequest request, long nowMicros) {
    String zone = components.delegations.zoneOf(request.node());
    return components.delegations.onRequest(
        request, zone == null ? 0 : delegableMicros(zone, nowMicros), nowMicros);
  }

  /**
   * Records and returns until when this controller itself may renew its zone's leases if it loses
   * its authority.
   */
  long delegateToSelf(String zone, long nowMicros) {
    long until = nowMicros + delegableMicros(zone, nowMicros);
    components.delegations.delegateToSelf(until);
    return until;
  }

  private long delegableMicros(String zone, long nowMicros) {
    return loaded() ? components.cancellationGate.delegableMicros(zone, nowMicros) : 0;
  }

  /** Handles a heartbeat that this controller received as the leader. */
  void onHeartbeat(long requestId, Heartbeat heartbeat, long nowMicros) {
    // Until the cluster state is loaded, heartbeats are rejected. Guards against lease renewals by
    // a leader that has not read yet which jobs were cancelled: if an outage of the key-value
    // store began at that moment, the renewals would continue for as long as grants do, and so
    // would the tasks of a cancelled job on a machine that had hung.
    if (!loaded() || !control.hasAuthority(nowMicros) || heartbeat.token() > number) {
      outbox.respond(requestId, HttpStatus.UNAVAILABLE, null);
      return;
    }
    components.heartbeatHandler.onHeartbeat(requestId, heartbeat, nowMicros);
  }

  /** Handles the reply to a direct command; sends no commands in return and renews no lease. */
  private void onDirectReply(Machine machine, Heartbeat heartbeat, long nowMicros) {
    if (phase != Phase.CLOSED && control.hasAuthority(nowMicros)) {
      components.heartbeatHandler.onDirectReply(machine, heartbeat, nowMicros);
    }
  }

  /** Handles a user's request as the leader. */
  void onUserRequest(UserRequest request, Responder responder, long nowMicros) {
    if (!loaded() || !control.hasAuthority(nowMicros)) {
      responder.respondRetry(RetryReason.NO_AUTHORITY);
    } else {
      components.requestHandler.handle(request, responder, nowMicros);
    }
  }

  @Override
  public void onAccepted(Job job, long nowMicros) {
    LOG.info("job accepted: job={} tasks={}", job.id(), job.spec().tasks());
    if (job.spec().jobKind() == JobKind.SERVICE) {
      components.clusterState.serviceArrivalRate().recordArrival(job.spec(), nowMicros);
    }
    components.clusterState.requestPlacement();
    components.requestHandler.onAccepted(job);
  }

  private void onImportFailed(String jobId) {
    components.requestHandler.onImportFailed(jobId);
  }

  @Override
  public void onCancelled(Job job, long nowMicros) {
    LOG.info("job cancelled: job={}", job.id());
    components.requestHandler.onCancelled(job);
  }

  @Override
  public void onEnded(Job job, long nowMicros) {
    LOG.info("job ended: job={} state={}", job.id(), job.finalState());
    components.clusterState.removeJob(job);
    components.requestHandler.onEnded(job);
  }

  @Override
  public void onMachinesRegistered(long nowMicros) {
    components.clusterState.requestPlacement();
  }

  @Override
  public void onRecordConflict(String reason, long nowMicros) {
    LOG.error("records do not match, giving up the lead: term={} reason=\"{}\"", number, reason);
    control.onKeyLost();
  }

  /** Ends the term; users with pending requests are told to retry. */
  void close(long nowMicros) {
    if (phase == Phase.CLOSED) {
      return;
    }
    changePhase(Phase.CLOSED);
    components.loader.close();
    components.durationTracker.close();
    components.jobImporter.close();
    components.fleet.close();
    components.commandSender.close();
    components.queue.close(nowMicros);
    components.requestHandler.close();
  }
}
