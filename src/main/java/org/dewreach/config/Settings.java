package org.dewreach.config;

import java.util.List;
import java.util.Map;

/**
 * The settings of one controller.
 *
 * @param name this controller's host name
 * @param zone the zone it runs in
 * @param clientListen the address at which it serves users and workers
 * @param internalListen the address at which it serves other controllers
 * @param members the other controllers
 * @param cloudAddress the cloud's address
 * @param storeAddress the key-value store's address
 * @param zones the cloud's zones
 * @param maxClockSkewMicros the maximum difference between the controllers' wall clocks
 * @param teams the teams, by name
 * @param objectives the operators' service-level objectives
 * @param workers intervals and time limits of workers
 * @param storeLimits limits of the key-value store
 * @param cloudLimits limits of the cloud
 * @param hostLimits limits of the machine that the controller runs on
 */
public record Settings(
    String name,
    String zone,
    Address clientListen,
    Address internalListen,
    List<Member> members,
    Address cloudAddress,
    Address storeAddress,
    List<String> zones,
    long maxClockSkewMicros,
    Map<String, Team> teams,
    List<Objective> objectives,
    WorkerSettings workers,
    StoreLimits storeLimits,
    CloudLimits cloudLimits,
    HostLimits hostLimits) {

  /** An IP address with a port. */
  public record Address(String host, int port) {
    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /** Another controller. */
  public record Member(String name, String zone, Address address) {}

  /** A team's guarantee and quota; a quota of 0 in the file means none, and is infinite here. */
  public record Team(
      String name,
      double guaranteedCpus,
      double cpuQuota,
      double guaranteedGpus,
      double gpuQuota) {}

  /** What an objective requires. */
  public enum ObjectiveKind {
    /** Tasks of a class start within a time limit after their submission. */
    START_WITHIN("wait"),
    /** Jobs of a class finish within a time limit after their submission. */
    FINISH_WITHIN("finished"),
    /** Jobs of a class finish by their deadline, or by a multiple of it. */
    FINISH_BY_DEADLINE("deadline"),
    /** Work within a team's guarantee starts within a time limit after its submission. */
    GUARANTEED_START("guarantee"),
    /** A kind that is unknown to this version; the scheduler does not act on it. */
    OTHER(null);

    private final String configName;

    ObjectiveKind(String configName) {
      this.configName = configName;
    }

    /** Returns the name in the settings file, or null for {@link #OTHER}. */
    public String configName() {
      return configName;
    }

    /** Returns the kind with the given name, or {@link #OTHER}. */
    static ObjectiveKind of(String name) {
      for (ObjectiveKind kind : values()) {
        if (name.equals(kind.configName)) {
          return kind;
        }
      }
      return OTHER;
    }
  }

  /**
   * A service-level objective of the operators; fields that its kind does not have are 0 or null.
   *
   * @param kind what it requires
   * @param jobClass the class of the jobs that it applies to, or null
   * @param withinMicros the time limit for the start or the completion
   * @param share the share of the jobs that must meet the time limit
   * @param factor the factor that multiplies the deadline, for kinds that have one
   */
  public record Objective(
      ObjectiveKind kind, String jobClass, long withinMicros, double share, double factor) {}

  /**
   * Intervals and time limits of workers.
   *
   * @param heartbeatIntervalMicros the interval of a worker's heartbeats
   * @param leaseMicros the duration of a worker's lease
   * @param maxCancellationMicros the time after a confirmed cancellation by which the job's tasks
   *     must have ended
   */
  public record WorkerSettings(
      long heartbeatIntervalMicros, long leaseMicros, long maxCancellationMicros) {
    /**
     * The maximum duration of a delegation: longer than most network partitions last. It also
     * bounds the wait for a zone that is lost for good.
     */
    private static final long MAX_DELEGATION_MICROS = 30_000_000;

    /** The rates of two clocks differ by at most 1 part in this number. */
    private static final int CLOCK_DRIFT_DIVISOR = 500;

    /** The margin for delays: a response in transit, a command, and the granularity of timers. */
    private static final long DELEGATION_MARGIN_MICROS = 2_000_000;

    /**
     * Returns how long a follower may renew workers' leases without contact to its leader, or 0 if
     * cancellations leave no time for it. While a follower may keep a job's tasks alive for longer
     * than {@link #maxRenewalBeforeCancellationMicros}, a cancellation of the job is not confirmed.
     */
    public long maxDelegationMicros() {
      return maxRenewalBeforeCancellationMicros() > 0 ? MAX_DELEGATION_MICROS : 0;
    }

    /**
     * Returns how long from now a worker's lease may still be renewed if a cancellation is
     * confirmed now: the lease then expires, and ends the tasks, within {@link
     * #maxCancellationMicros}.
     */
    public long maxRenewalBeforeCancellationMicros() {
      return maxCancellationMicros
          - leaseMicros
          - leaseMicros / CLOCK_DRIFT_DIVISOR
          - DELEGATION_MARGIN_MICROS;
    }
  }

  /**
   * Limits of the key-value store. It may lower them while this process runs, with or without
   * notice.
   *
   * @param requestsPerSecond the present rate limit of requests
   * @param writesPerSecond the present rate limit of puts and deletes
   * @param maxValueBytes the lower of the present and the announced size limit of a value, in the
   *     JSON form; values that are stored now have to be rewritten under the announced limit
   * @param maxTransactionOps the present maximum number of puts and deletes in a transaction
   */
  public record StoreLimits(
      double requestsPerSecond, double writesPerSecond, int maxValueBytes, int maxTransactionOps) {}

  /** The cloud's rate limit, and the delay of its machine list. */
  public record CloudLimits(double requestsPerSecond, long listLagMicros) {}

  /** Limits of the machine that the controller runs on. */
  public record HostLimits(double cpuShare, double memoryMb, int maxConnections) {
    /** One in this number of connections may be to a worker, to send it commands. */
    private static final int CONNECTIONS_TO_WORKERS_DIVISOR = 8;

    private static final int MIN_CONNECTIONS_TO_WORKERS = 8;

    /**
     * Returns the maximum number of simultaneous connections to workers. A connection is opened for
     * a command and kept only while there is room: with one kept for each worker, the heartbeats
     * and commands of a large fleet used up all sockets.
     */
    public int connectionsToWorkers() {
      return Math.max(MIN_CONNECTIONS_TO_WORKERS, maxConnections / CONNECTIONS_TO_WORKERS_DIVISOR);
    }

    /**
     * Returns the number of connections left for users, workers' heartbeats and health checks.
     *
     * @param others the number of connections to and from other controllers and services
     */
    public int connectionsFromClients(int others) {
      return maxConnections - connectionsToWorkers() - others;
    }
  }
}
