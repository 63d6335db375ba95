package org.dewreach.config;

import java.util.List;
import java.util.Map;

/**
 * The settings of one controller.
 *
 * @param name this controller's host name
 * @param zone where it runs
 * @param clientListen where it serves users and workers
 * @param internalListen where it serves other controllers
 * @param members the other controllers
 * @param cloudAddress the cloud's address
 * @param storeAddress the state service's address
 * @param zones the cloud's zones
 * @param maxClockSkewMicros how far apart the controllers' times of day may be
 * @param teams by name
 * @param objectives what the operators aim at
 * @param workers times that concern the workers
 * @param storeLimits limits of the state service
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

  /** A team's guarantee and limit; infinite where the file says "none" (0). */
  public record Team(
      String name, double guaranteedCpus, double cpusMax, double guaranteedGpus, double gpusMax) {}

  /** What an objective is about. */
  public enum ObjectiveKind {
    /** Tasks of a class start within some time of their submission. */
    START_WITHIN("wait"),
    /** Jobs of a class finish within some time of their submission. */
    FINISH_WITHIN("finished"),
    /** Jobs of a class finish by their deadline, or a multiple of it. */
    FINISH_BY_DEADLINE("deadline"),
    /** Work within a team's guarantee starts within some time of its submission. */
    GUARANTEED_START("guarantee"),
    /** A kind that this version does not know; the scheduler does not act on it. */
    OTHER(null);

    private final String word;

    ObjectiveKind(String word) {
      this.word = word;
    }

    /** The word in the settings file, or null for a kind that is not known. */
    public String word() {
      return word;
    }

    /** The kind with the given word. */
    static ObjectiveKind of(String word) {
      for (ObjectiveKind kind : values()) {
        if (word.equals(kind.word)) {
          return kind;
        }
      }
      return OTHER;
    }
  }

  /**
   * A service-level objective of the operators; fields that its kind lacks are 0 or null.
   *
   * @param kind what it is about
   * @param jobClass the class of the jobs that it holds for, or null
   * @param withinMicros the time to start or to finish within
   * @param share the share of the jobs for which that is to hold
   * @param factor a factor, for kinds that have one
   */
  public record Objective(
      ObjectiveKind kind, String jobClass, long withinMicros, double share, double factor) {}

  /** Times that concern the workers. */
  public record WorkerSettings(
      long heartbeatIntervalMicros, long leaseMicros, long maxCancellationMicros) {
    /**
     * Most of what cuts last; a zone that is lost for good is waited for no longer. A default of
     * this project.
     */
    private static final long MAX_DELEGATION_MICROS = 30_000_000;

    /** Clocks drift apart by at most one part in this many. */
    private static final int CLOCK_DRIFT_DIVISOR = 500;

    /**
     * What is left for delays: an answer on its way, a command, steps of timers. A default of this
     * project.
     */
    private static final long DELEGATION_MARGIN_MICROS = 2_000_000;

    /**
     * How long a node may answer workers without its leader. A job whose tasks it may keep alive
     * for longer than {@link #maxRenewalBeforeCancellationMicros} is not told to be cancelled
     * before.
     */
    public long maxDelegationMicros() {
      return maxRenewalBeforeCancellationMicros() > 0 ? MAX_DELEGATION_MICROS : 0;
    }

    /**
     * How long from now a worker may still be answered, so that its tasks are gone with its lease
     * before a cancellation that is told now is late.
     */
    public long maxRenewalBeforeCancellationMicros() {
      return maxCancellationMicros
          - leaseMicros
          - leaseMicros / CLOCK_DRIFT_DIVISOR
          - DELEGATION_MARGIN_MICROS;
    }
  }

  /** Limits of the state service. */
  public record StoreLimits(double rps, double writeRps, int valueBytes, int txnOps) {}

  /** Limits of the cloud. */
  public record CloudLimits(double rps, long listLagMicros) {}

  /** Limits of the machine that the controller runs on. */
  public record HostLimits(double cpuShare, double ramMb, int maxConnections) {
    /** Part of the sockets that is for commands to workers. A default of this project. */
    private static final int CONNECTIONS_TO_WORKERS_DIVISOR = 8;

    private static final int MIN_CONNECTIONS_TO_WORKERS = 8;

    /**
     * Connections to workers at once. They are opened for a command and kept only while there is
     * room: with one kept for each worker, reports and commands of a large fleet took all sockets.
     */
    public int connectionsToWorkers() {
      return Math.max(MIN_CONNECTIONS_TO_WORKERS, maxConnections / CONNECTIONS_TO_WORKERS_DIVISOR);
    }

    /** What is left for users, workers' reports and health checks, beside so many others. */
    public int connectionsFromClients(int others) {
      return maxConnections - connectionsToWorkers() - others;
    }
  }
}
