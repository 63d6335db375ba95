package org.dewreach.history;

import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;

/**
 * The jobs that this controller knows to be accepted because it wrote or read their records without
 * leading. Only jobs that are not known to have ended are kept.
 *
 * <p>Guards against jobs about which no query can be answered in an outage of the key-value store:
 * a job that was accepted without a leader just before is known to no other controller.
 */
public final class AcceptedJobs {
  /** About 100 bytes each; the leader imports such jobs within seconds. */
  static final int MAX_JOBS = 5_000;

  /** Returned for a job that is not known to be accepted. */
  public static final long UNKNOWN = -1;

  private final Object2LongLinkedOpenHashMap<String> revisions =
      new Object2LongLinkedOpenHashMap<>();

  AcceptedJobs() {
    revisions.defaultReturnValue(UNKNOWN);
  }

  /**
   * Adds a job, and forgets the one that was added first if there is no room.
   *
   * @param revision the revision at which its record was last written, as far as is known
   */
  public void add(String jobId, long revision) {
    revisions.putAndMoveToLast(jobId, revision);
    if (revisions.size() > MAX_JOBS) {
      revisions.removeFirstLong();
    }
  }

  /** Returns the revision of the job's record as it was last known, or {@link #UNKNOWN}. */
  public long revision(String jobId) {
    return revisions.getLong(jobId);
  }

  /** Forgets a job, because it has ended. */
  void remove(String jobId) {
    revisions.removeLong(jobId);
  }

  /** Forgets all jobs, because it is not known which of them have ended. */
  void clear() {
    revisions.clear();
  }
}
