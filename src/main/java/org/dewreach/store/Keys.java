package org.dewreach.store;

/** The layout of the keys. */
public final class Keys {
  /** The leader key: its stamp is the term, its value names the leader. */
  public static final String LEADER = "dw/leader";

  /** The last catalog that a leader fetched, for a start while the cloud is away. */
  public static final String CATALOG = "dw/catalog";

  /** Jobs that are not over: description, cancellation, tasks done. */
  public static final String JOBS = "dw/job/";

  /** Jobs that were accepted without a leader; the leader takes them over. */
  public static final String NEW = "dw/new/";

  /** Final states of jobs, kept for ever. */
  public static final String OVER = "dw/over/";

  /** Pages of machines that were rented, or may have been given commands. */
  public static final String MACHINES = "dw/machines/";

  private Keys() {}

  /** Key of a job that was accepted without a leader. */
  public static String newJob(String id) {
    return NEW + id;
  }

  /** Key of a job that is not over. */
  public static String job(String id) {
    return JOBS + id;
  }

  /** Key of a job's final state. */
  public static String over(String id) {
    return OVER + id;
  }

  /** Key of a page of machines. */
  public static String machines(int page) {
    return MACHINES + page;
  }
}
