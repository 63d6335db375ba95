package org.dewreach.controller;

import org.dewreach.cloud.CloudClient;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.history.FinalStates;
import org.dewreach.leadership.HandoverHistory;
import org.dewreach.leadership.LastHeartbeatTimes;
import org.dewreach.port.Outbox;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.WriteLimits;

/**
 * The services that the components of a controller share for the lifetime of the process, across
 * terms.
 *
 * @param settings the controller's settings
 * @param tuning the operators' tuning
 * @param outbox collects effects
 * @param store the key-value store, over the general connection pool
 * @param writeLimits the limits of the key-value store for the writes of a leader
 * @param cloud the client of the cloud
 * @param catalog the machine type catalog
 * @param finalStates the final states known to be durable
 * @param lastHeartbeats the time of the last heartbeat of each worker to this controller
 * @param handoverHistory when this controller last handed over because no workers reached it
 * @param wallOffsetMicros wall-clock time minus event time
 */
record ControllerServices(
    Settings settings,
    Tuning tuning,
    Outbox outbox,
    KeyValueStore store,
    WriteLimits writeLimits,
    CloudClient cloud,
    MachineTypeCatalog catalog,
    FinalStates finalStates,
    LastHeartbeatTimes lastHeartbeats,
    HandoverHistory handoverHistory,
    long wallOffsetMicros) {

  /**
   * The leader's share of the write rate limit; the rest is left for the election and for writes of
   * other controllers.
   */
  private static final double WRITE_RATE_SHARE = 0.9;

  private static WriteLimits newWriteLimits(Settings.StoreLimits limits) {
    return new WriteLimits(
        limits.maxValueBytes(),
        limits.maxTransactionOps(),
        limits.writesPerSecond() * WRITE_RATE_SHARE);
  }

  /** Creates services that send through the given outbox and have not read anything yet. */
  static ControllerServices create(
      Settings settings, Tuning tuning, Outbox outbox, long wallOffsetMicros) {
    KeyValueStore store = new KeyValueStore(outbox);
    CloudClient cloud = new CloudClient(outbox, settings.cloudLimits().requestsPerSecond());
    return new ControllerServices(
        settings,
        tuning,
        outbox,
        store,
        newWriteLimits(settings.storeLimits()),
        cloud,
        new MachineTypeCatalog(store, cloud),
        new FinalStates(),
        new LastHeartbeatTimes(),
        new HandoverHistory(),
        wallOffsetMicros);
  }
}
