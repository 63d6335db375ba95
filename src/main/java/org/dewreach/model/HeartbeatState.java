package org.dewreach.model;

/**
 * What the heartbeats of a machine's worker have told: its incarnation, and how reachable it is.
 */
public final class HeartbeatState {
  /**
   * Replies in a row that did not arrive, from which a machine is taken to miss replies. A default
   * of this project.
   */
  private static final int MISSED_RESPONSES_THRESHOLD = 2;

  private long incarnation = -1;
  private long sequence = -1;
  private long lastHeartbeat;
  private long lastLeaseRenewal;
  private boolean unreachable;
  private int missedResponses;
  private RestartCheck restartCheck = RestartCheck.NONE;

  /** The state of a machine that was found at the given time, which counts as a heartbeat. */
  HeartbeatState(long nowMicros) {
    this.lastHeartbeat = nowMicros;
  }

  /** The incarnation of the last heartbeat taken, or -1. */
  public long incarnation() {
    return incarnation;
  }

  /** The sequence number of the last heartbeat taken, or -1. */
  public long sequence() {
    return sequence;
  }

  /** True if a heartbeat is newer than the last one taken. */
  public boolean isNewer(long heartbeatIncarnation, long heartbeatSequence) {
    return heartbeatIncarnation > incarnation
        || heartbeatIncarnation == incarnation && heartbeatSequence > sequence;
  }

  /** Records how far the worker's heartbeats have been taken. */
  void recordSequence(long heartbeatIncarnation, long heartbeatSequence) {
    incarnation = heartbeatIncarnation;
    sequence = heartbeatSequence;
  }

  /** When the worker last sent a heartbeat by itself. */
  public long lastHeartbeat() {
    return lastHeartbeat;
  }

  /**
   * Records a heartbeat that the worker sent by itself.
   *
   * <p>Answers to direct commands do not count. Guards against a machine that reaches no controller
   * while commands reach it: it would be given tasks again and again that end with each lease.
   */
  public void recordHeartbeat(long nowMicros) {
    lastHeartbeat = nowMicros;
    unreachable = false;
  }

  /** When a heartbeat was last answered with 200 in this term: the worker's lease runs from it. */
  public long lastLeaseRenewal() {
    return lastLeaseRenewal;
  }

  /** Records that a heartbeat was answered in this term. */
  public void recordLeaseRenewal(long nowMicros) {
    lastLeaseRenewal = nowMicros;
  }

  /** True if the machine may be cut off or hang, since its last heartbeat. */
  boolean unreachable() {
    return unreachable;
  }

  /**
   * Marks a machine that may be cut off or hang, until its next heartbeat.
   *
   * <p>Guards against tasks that are given to a cut-off zone, where they are bound until its leases
   * are over, in the seconds before its silence shows.
   */
  public void markUnreachable() {
    unreachable = true;
  }

  /** Records whether the worker's last heartbeat shows that our reply to the one before arrived. */
  public void recordResponseDelivery(boolean arrived) {
    missedResponses = arrived ? 0 : missedResponses + 1;
  }

  /** True if heartbeats arrive here, but replies and commands do not arrive there. */
  public boolean missesResponses() {
    return missedResponses >= MISSED_RESPONSES_THRESHOLD;
  }

  /** Whether the worker may have restarted. */
  public RestartCheck restartCheck() {
    return restartCheck;
  }

  /** Sets whether the worker may have restarted. */
  public void restartCheck(RestartCheck now) {
    restartCheck = now;
  }
}
