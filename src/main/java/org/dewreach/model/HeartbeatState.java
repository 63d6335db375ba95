package org.dewreach.model;

/**
 * The state of a machine's worker as its heartbeats show it: its incarnation, its last heartbeat,
 * and whether it can be reached.
 */
public final class HeartbeatState {
  /**
   * After this many consecutive lost responses, the machine is considered not to receive responses.
   */
  private static final int MISSED_RESPONSES_THRESHOLD = 2;

  private long incarnation = -1;
  private long sequence = -1;
  private long lastHeartbeat;
  private long lastLeaseRenewal;
  private boolean unreachable;
  private int missedResponses;
  private RestartCheck restartCheck = RestartCheck.NONE;

  /**
   * Creates the state of a machine that became known at the given time, which counts as its first
   * heartbeat.
   */
  HeartbeatState(long nowMicros) {
    this.lastHeartbeat = nowMicros;
  }

  /** Returns the incarnation of the last heartbeat that was processed, or -1 if there was none. */
  public long incarnation() {
    return incarnation;
  }

  /**
   * Returns the sequence number of the last heartbeat that was processed, or -1 if there was none.
   */
  public long sequence() {
    return sequence;
  }

  /**
   * True if a heartbeat with the given incarnation and sequence number is newer than the last one
   * that was processed.
   */
  public boolean isNewer(long heartbeatIncarnation, long heartbeatSequence) {
    return heartbeatIncarnation > incarnation
        || heartbeatIncarnation == incarnation && heartbeatSequence > sequence;
  }

  /** Records the incarnation and sequence number of the last heartbeat that was processed. */
  void recordSequence(long heartbeatIncarnation, long heartbeatSequence) {
    incarnation = heartbeatIncarnation;
    sequence = heartbeatSequence;
  }

  /** Returns when the worker last sent a heartbeat on its own, not in reply to a direct command. */
  public long lastHeartbeat() {
    return lastHeartbeat;
  }

  /**
   * Records a heartbeat that the worker sent on its own.
   *
   * <p>Replies to direct commands do not count. Guards against a machine that receives commands but
   * cannot reach any controller: it would be assigned tasks again and again, which end each time
   * when the lease expires.
   */
  public void recordHeartbeat(long nowMicros) {
    lastHeartbeat = nowMicros;
    unreachable = false;
  }

  /**
   * Returns when a heartbeat was last answered with status 200 in this term. The worker's lease
   * runs from then.
   */
  public long lastLeaseRenewal() {
    return lastLeaseRenewal;
  }

  /** Records that a heartbeat was answered with status 200 in this term. */
  public void recordLeaseRenewal(long nowMicros) {
    lastLeaseRenewal = nowMicros;
  }

  /** True if the machine was marked as possibly partitioned or hung after its last heartbeat. */
  boolean unreachable() {
    return unreachable;
  }

  /**
   * Marks the machine as possibly partitioned or hung, until its next heartbeat.
   *
   * <p>Guards against placing tasks in a partitioned zone during the seconds before the missing
   * heartbeats are detected: such tasks would stay bound there until the leases of its machines
   * expire.
   */
  public void markUnreachable() {
    unreachable = true;
  }

  /**
   * Records whether the worker's last heartbeat shows that it received the response to the one
   * before.
   */
  public void recordResponseDelivery(boolean arrived) {
    missedResponses = arrived ? 0 : missedResponses + 1;
  }

  /** True if heartbeats from the machine arrive, but responses and commands do not reach it. */
  public boolean missesResponses() {
    return missedResponses >= MISSED_RESPONSES_THRESHOLD;
  }

  /** Returns whether the worker may have restarted. */
  public RestartCheck restartCheck() {
    return restartCheck;
  }

  /** Sets whether the worker may have restarted. */
  public void restartCheck(RestartCheck newCheck) {
    restartCheck = newCheck;
  }
}
