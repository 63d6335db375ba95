package org.dewreach.store;

/** The layout of the keys in the key-value store. */
public final class Keys {
  /** The leader key. The revision of its write is the term, and its value names the leader. */
  public static final String LEADER = "dw/leader";

  /**
   * The last machine type catalog that a leader fetched; used by a controller that starts while the
   * cloud provider is down.
   */
  public static final String CATALOG = "dw/catalog";

  /** Prefix of the jobs that have not ended: spec, cancellation, completed tasks. */
  public static final String JOBS = "dw/job/";

  /** Prefix of the jobs that were accepted without a leader, until the leader imports them. */
  public static final String LEADERLESS_JOBS = "dw/new/";

  /** Prefix of the final states of jobs, which are kept forever. */
  public static final String FINAL_STATES = "dw/over/";

  /** Prefix of the pages that list the machines that were rented or may have received commands. */
  public static final String MACHINE_PAGES = "dw/machines/";

  /** The time since which a recovery has been open over several terms. */
  public static final String RECOVERY = "dw/recovery";

  private Keys() {}

  /** Returns the key of a job that was accepted without a leader. */
  public static String leaderlessJob(String jobId) {
    return LEADERLESS_JOBS + jobId;
  }

  /** Returns the key of a job that has not ended. */
  public static String job(String jobId) {
    return JOBS + jobId;
  }

  /** Returns the key of a job's final state. */
  public static String finalState(String jobId) {
    return FINAL_STATES + jobId;
  }

  /** Returns the key of a page of machines. */
  public static String machinePage(int number) {
    return MACHINE_PAGES + number;
  }
}
