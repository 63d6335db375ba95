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

/**
 * What the components of a node share for the life of the process, in whichever term.
 *
 * @param settings the node's settings
 * @param tuning the site's tuning
 * @param outbox collects effects
 * @param store the key-value store, over the general connections
 * @param cloud the cloud's machines
 * @param catalog the machine types
 * @param finalStates the final states known to be durable
 * @param lastHeartbeats when each worker last sent this node a heartbeat
 * @param handoverHistory when this node last gave up the lead for want of workers
 * @param wallOffsetMicros time of day minus event time
 */
record ControllerServices(
    Settings settings,
    Tuning tuning,
    Outbox outbox,
    KeyValueStore store,
    CloudClient cloud,
    MachineTypeCatalog catalog,
    FinalStates finalStates,
    LastHeartbeatTimes lastHeartbeats,
    HandoverHistory handoverHistory,
    long wallOffsetMicros) {

  /** Services that send through the given outbox, and have read nothing yet. */
  static ControllerServices create(
      Settings settings, Tuning tuning, Outbox outbox, long wallOffsetMicros) {
    KeyValueStore store = new KeyValueStore(outbox);
    CloudClient cloud = new CloudClient(outbox, settings.cloudLimits().rps());
    return new ControllerServices(
        settings,
        tuning,
        outbox,
        store,
        cloud,
        new MachineTypeCatalog(store, cloud),
        new FinalStates(),
        new LastHeartbeatTimes(),
        new HandoverHistory(),
        wallOffsetMicros);
  }
}
