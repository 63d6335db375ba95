package org.dewreach.history;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;

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

  /** Returns the final state of the job, or null if it is not in memory. */
  public FinalState get(String jobId) {
    FinalState known = recent.get(jobId);
    return known != null ? known : lookedUp.getIfPresent(jobId);
  }

  /** Adds the state of a job that has just ended, and evicts the oldest one if there is no room. */
  public void addEnded(String jobId, FinalState finalState) {
    recent.putAndMoveToLast(jobId, finalState);
    if (recent.size() > MAX_RECENT_STATES) {
      recent.removeFirst();
    }
  }

  /**
   * Adds the state of a job that ended at an unknown time and was looked up in the key-value store.
   */
  public void addLookedUp(String jobId, FinalState finalState) {
    if (!recent.containsKey(jobId)) {
      lookedUp.put(jobId, finalState);
    }
  }

  /** Adds the state of a job that ended at an unknown time as the oldest one, if there is room. */
  void addListed(String jobId, FinalState finalState) {
    if (!isFull()) {
      recent.putAndMoveToFirst(jobId, finalState);
    }
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
