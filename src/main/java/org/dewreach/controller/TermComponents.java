package org.dewreach.controller;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dewreach.config.Settings;
import org.dewreach.heartbeat.DirectCommandSender;
import org.dewreach.heartbeat.HeartbeatHandler;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.leadership.PeerReachabilityPoller;
import org.dewreach.membership.FleetManager;
import org.dewreach.membership.HandoverPolicy;
import org.dewreach.membership.RecoveryTracker;
import org.dewreach.membership.StalledRecoveryResolver;
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

/** Creates the components of one term and connects them. */
final class TermComponents {
  /**
   * Callbacks from the components to the term.
   *
   * @param durabilityListener notified when a record has become durable
   * @param onImportFailed receives the id of a job that could not be imported
   * @param directReplyListener receives workers' replies to direct commands
   * @param closed returns true once the term has ended
   */
  record Callbacks(
      DurabilityListener durabilityListener,
      Consumer<String> onImportFailed,
      DirectCommandSender.ReplyListener directReplyListener,
      BooleanSupplier closed) {}

  private final long term;
  private final ControllerServices services;
  private final Settings settings;
  final ClusterState clusterState;
  final CommitQueue queue;
  final MachineRegistry registry;
  final LeaseDelegations delegations;
  final FleetManager fleet;
  final HandoverPolicy handoverPolicy;
  final RecoveryTracker recovery;
  final RecoveryDurationTracker durationTracker;
  final StalledRecoveryResolver stalledRecovery;
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
      ControllerServices services,
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
            services.writeLimits(),
            services.wallOffsetMicros(),
            callbacks.durabilityListener());
    this.delegations = new LeaseDelegations(term, settings, control::lastDelegateRenewalAt);
    this.fleet = newFleetManager(nowMicros);
    this.handoverPolicy = newHandoverPolicy(control::isStoreSuspected);
    this.recovery = new RecoveryTracker(clusterState, fleet);
    this.durationTracker =
        new RecoveryDurationTracker(services.store(), queue, services.wallOffsetMicros());
    this.stalledRecovery = new StalledRecoveryResolver(recovery, fleet, durationTracker, settings);
    this.cancellationGate = new CancellationGate(clusterState, settings, delegations, recovery);
    this.recordWriter =
        new JobRecordWriter(
            queue, services.writeLimits(), cancellationGate, callbacks.durabilityListener());
    this.loader = newLoader();
    this.jobImporter =
        new LeaderlessJobImporter(
            services.store(), clusterState, recordWriter, callbacks.onImportFailed());
    this.requestHandler = newRequestHandler(control::isStoreSuspected);
    this.commandSender =
        new DirectCommandSender(
            term,
            services.outbox(),
            clusterState,
            callbacks.directReplyListener(),
            settings.hostLimits().connectionsToWorkers());
    this.heartbeatHandler = newHeartbeatHandler(callbacks.closed());
    this.placement = newPlacementLoop();
    this.reporter = new TermReporter(term, clusterState, queue, services.writeLimits());
    this.recoveryReporter = new RecoveryReporter(term, clusterState, fleet, durationTracker);
  }

  private CommitQueue newCommitQueue(LeadershipControl control) {
    return new CommitQueue(
        services.store(),
        new Precondition(Keys.LEADER, term),
        services.writeLimits(),
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

  private HandoverPolicy newHandoverPolicy(BooleanSupplier storeSuspected) {
    PeerReachabilityPoller peers = new PeerReachabilityPoller(services.outbox(), settings);
    return new HandoverPolicy(fleet, peers, services.handoverHistory(), storeSuspected, settings);
  }

  private ClusterStateLoader newLoader() {
    return new ClusterStateLoader(
        services.store(), clusterState, registry, services.catalog(), services.wallOffsetMicros());
  }

  private JobRequestHandler newRequestHandler(BooleanSupplier storeSuspected) {
    return new JobRequestHandler(
        clusterState,
        recordWriter,
        jobImporter,
        services.store(),
        services.finalStates(),
        services.catalog(),
        services.outbox(),
        storeSuspected,
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
