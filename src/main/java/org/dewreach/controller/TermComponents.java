package org.dewreach.controller;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dewreach.config.Settings;
import org.dewreach.heartbeat.DirectCommandSender;
import org.dewreach.heartbeat.HeartbeatHandler;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.leadership.PeerContacts;
import org.dewreach.membership.FleetManager;
import org.dewreach.membership.HandoverPolicy;
import org.dewreach.membership.RecoveryTracker;
import org.dewreach.membership.StalledRecovery;
import org.dewreach.request.JobRequestHandler;
import org.dewreach.state.ClusterState;
import org.dewreach.state.ClusterStateLoader;
import org.dewreach.state.DurabilityListener;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.state.LeaderlessJobImporter;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.RecoveryDurationTracker;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.Keys;
import org.dewreach.store.Precondition;
import org.dewreach.store.TokenBucket;

/** The components of one term, wired to each other. */
final class TermComponents {
  /** Share of the write rate; the rest is left to the election and to other nodes' writes. */
  private static final double WRITE_RATE_SHARE = 0.9;

  /**
   * What the term is told by its components.
   *
   * @param records told when something became durable
   * @param onImportFailed told the id of a job that was not imported
   * @param directReplies told how workers replied to direct commands
   * @param closed tells whether the term is over
   */
  record Callbacks(
      DurabilityListener records,
      Consumer<String> onImportFailed,
      DirectCommandSender.ReplyListener directReplies,
      BooleanSupplier closed) {}

  private final long term;
  private final NodeServices services;
  private final Settings settings;
  final ClusterState clusterState;
  final CommitQueue queue;
  final MachineRegistry registry;
  final LeaseDelegations delegations;
  final FleetManager fleet;
  final HandoverPolicy handoverPolicy;
  final RecoveryTracker recovery;
  final RecoveryDurationTracker recoveryClock;
  final StalledRecovery stalledRecovery;
  final CancellationGate cancellationGate;
  final JobRecordWriter recordWriter;
  final ClusterStateLoader loader;
  final LeaderlessJobImporter jobImporter;
  final JobRequestHandler requestHandler;
  final DirectCommandSender commandSender;
  final HeartbeatHandler heartbeatHandler;
  final PlacementLoop placement;
  final TermReporter reporter;
  final RecoveryReporter recoveryReporter;

  TermComponents(
      long term,
      NodeServices services,
      LeadershipControl control,
      Callbacks callbacks,
      long nowMicros) {
    this.term = term;
    this.services = services;
    this.settings = services.settings();
    this.clusterState = new ClusterState(term, settings.teams(), services.tuning());
    this.queue = newCommitQueue(control);
    this.registry =
        new MachineRegistry(
            queue,
            settings.stateLimits().valueBytes(),
            services.wallOffsetMicros(),
            callbacks.records());
    this.delegations = new LeaseDelegations(term, settings, control::lastRenewalAt);
    this.fleet = newFleetManager(nowMicros);
    this.handoverPolicy = newHandoverPolicy();
    this.recovery = new RecoveryTracker(clusterState, fleet);
    this.recoveryClock =
        new RecoveryDurationTracker(services.store(), queue, services.wallOffsetMicros());
    this.stalledRecovery = new StalledRecovery(recovery, fleet, recoveryClock, settings);
    this.cancellationGate = new CancellationGate(clusterState, settings, delegations, recovery);
    this.recordWriter = new JobRecordWriter(queue, cancellationGate, callbacks.records());
    this.loader = newLoader();
    this.jobImporter =
        new LeaderlessJobImporter(
            services.store(), clusterState, recordWriter, callbacks.onImportFailed());
    this.requestHandler = newRequestHandler();
    this.commandSender =
        new DirectCommandSender(
            term,
            services.outbox(),
            clusterState,
            callbacks.directReplies(),
            settings.limits().connectionsToWorkers());
    this.heartbeatHandler = newHeartbeatHandler(callbacks.closed());
    this.placement = newPlacementLoop();
    this.reporter = new TermReporter(term, clusterState, queue);
    this.recoveryReporter = new RecoveryReporter(term, clusterState, fleet, recoveryClock);
  }

  private CommitQueue newCommitQueue(LeadershipControl control) {
    double writeRps = settings.stateLimits().writeRps() * WRITE_RATE_SHARE;
    return new CommitQueue(
        services.store(),
        new Precondition(Keys.LEADER, term),
        settings.stateLimits().txnOps(),
        new TokenBucket(writeRps, writeRps),
        control::onKeyLost);
  }

  private FleetManager newFleetManager(long nowMicros) {
    return new FleetManager(
        term,
        clusterState,
        registry,
        delegations,
        services.cloud(),
        services.catalog(),
        settings,
        services.tuning(),
        nowMicros,
        services.wallOffsetMicros());
  }

  private HandoverPolicy newHandoverPolicy() {
    PeerContacts peers = new PeerContacts(services.outbox(), settings);
    return new HandoverPolicy(fleet, peers, services.handovers(), settings);
  }

  private ClusterStateLoader newLoader() {
    return new ClusterStateLoader(
        services.store(), clusterState, registry, services.catalog(), services.wallOffsetMicros());
  }

  private JobRequestHandler newRequestHandler() {
    return new JobRequestHandler(
        clusterState,
        recordWriter,
        jobImporter,
        services.store(),
        services.finalStates(),
        services.catalog(),
        settings,
        services.wallOffsetMicros());
  }

  private HeartbeatHandler newHeartbeatHandler(BooleanSupplier closed) {
    return new HeartbeatHandler(
        term,
        services.outbox(),
        clusterState,
        services.catalog(),
        fleet,
        registry,
        recordWriter,
        closed);
  }

  private PlacementLoop newPlacementLoop() {
    return new PlacementLoop(
        clusterState,
        fleet,
        recovery,
        commandSender,
        settings,
        services.tuning(),
        services.wallOffsetMicros());
  }
}
