package org.dewreach.history;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import org.dewreach.wire.JobState;

/**
 * The durable final states that this controller has in memory, in whichever term the jobs ended.
 *
 * <p>A final state never changes, so any controller may report it at any time, with or without
 * authority. Only durable states are added: those read from the key-value store, or written to it
 * with its confirmation.
 *
 * <p>The states of the jobs that ended most recently are kept in the order in which the jobs ended;
 * those of older jobs that users queried are cached by how often they are queried. Both collections
 * are bounded; other states are read from the key-value store.
 */
public final class FinalStates {
  /**
   * About 200 bytes each, so 2 MB of the smallest controller's heap; enough for half an hour in
   * which five jobs end per second.
   */
  static final int MAX_RECENT_STATES = 10_000;

  private static final int MAX_LOOKED_UP_STATES = 2_000;

  private final Object2ObjectLinkedOpenHashMap<String, FinalState> recent =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Cache<String, FinalState> lookedUp =
      Caffeine.newBuilder().maximumSize(MAX_LOOKED_UP_STATES).executor(Runnable::run).build();
  private final AcceptedJobs accepted = new AcceptedJobs();
  private long coveredFrom = Long.MAX_VALUE;
  private long coveredUpTo = Long.MIN_VALUE;

  /** Returns the jobs known to be accepted whose final state is not known. */
  public AcceptedJobs accepted() {
    return accepted;
  }

  /** Returns the final state of the job, or null if it is not in memory. */
  public FinalState get(String jobId) {
    FinalState known = recent.get(jobId);
    return known != null ? known : lookedUp.getIfPresent(jobId);
  }

  /** Adds the state of a job that has just ended, and evicts the oldest one if there is no room. */
  public void addEnded(String jobId, FinalState finalState) {
    accepted.remove(jobId);
    recent.putAndMoveToLast(jobId, finalState);
    if (recent.size() > MAX_RECENT_STATES) {
      recent.removeFirst();
      coveredFrom = Math.max(coveredFrom, coveredUpTo);
    }
  }

  /**
   * Adds a job that was read or written as cancelled: it may still have tasks that are being
   * stopped, but its state no longer changes.
   */
  public void addCancelled(String jobId, int done) {
    addEnded(jobId, new FinalState(JobState.CANCELLED, done));
  }

  /**
   * Adds the state of a job that ended at an unknown time and was looked up in the key-value store,
   * or is known to another controller.
   */
  public void addLookedUp(String jobId, FinalState finalState) {
    accepted.remove(jobId);
    if (!recent.containsKey(jobId)) {
      lookedUp.put(jobId, finalState);
    }
  }

  /** Adds the state of a job that ended at an unknown time as the oldest one, if there is room. */
  void addListed(String jobId, FinalState finalState) {
    accepted.remove(jobId);
    if (!isFull()) {
      recent.putAndMoveToFirst(jobId, finalState);
    }
  }

  /** Records that the state of each job that ended between two revisions is in memory. */
  void cover(long fromRevision, long upToRevision) {
    coveredFrom = fromRevision;
    coveredUpTo = upToRevision;
  }

  /** Records that the states of the jobs that ended up to a revision were added. */
  void coverUpTo(long revision) {
    coveredUpTo = Math.max(coveredUpTo, revision);
  }

  /**
   * True if the state of a job that was accepted at one revision and ended by another would be in
   * memory.
   */
  public boolean wouldContain(long acceptedAtRevision, long endedByRevision) {
    return acceptedAtRevision > coveredFrom && endedByRevision <= coveredUpTo;
  }

  /** True if adding another ended job evicts the oldest one. */
  boolean isFull() {
    return recent.size() >= MAX_RECENT_STATES;
  }

  /** Returns how many final states are kept in the order in which their jobs ended. */
  public int size() {
    return recent.size();
  }
}
