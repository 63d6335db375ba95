package org.dewreach.sim;

/**
 * How large a simulated cluster is, and what its services allow.
 *
 * @param reportS the workers' heartbeat interval
 * @param leaseS the workers' lease
 * @param cancelS in how long the tasks of a cancelled job have to be gone
 * @param cpusMax the quota of team red; team blue has a quarter more
 * @param stateRps requests to the state service in each second
 * @param writeRps writes to the state service in each second
 * @param cloudRps requests to the cloud in each second
 * @param capacity machines of each type, zone and kind
 * @param readPage records in one answer of the state service
 * @param listPage machines in one answer of the cloud
 */
record ClusterSize(
    double reportS,
    double leaseS,
    double cancelS,
    double cpusMax,
    double stateRps,
    double writeRps,
    double cloudRps,
    int capacity,
    int readPageSize,
    int machineListPageSize) {
  /** A handful of machines; small pages, so that paging is always exercised. */
  static final ClusterSize SMALL = new ClusterSize(1, 10, 30, 24, 250, 60, 4, 4, 7, 5);

  /** Cancellations have time for more than a lease beside the longest delegation of a delegate. */
  static final ClusterSize LONG_CANCEL =
      new ClusterSize(2.5, 15.25, 40.25, 24, 250, 60, 4, 4, 7, 5);

  /** Hundreds of machines on small services. */
  static final ClusterSize FLEET = new ClusterSize(4, 22, 42, 20_000, 350, 90, 3, 200, 1_000, 500);
}
