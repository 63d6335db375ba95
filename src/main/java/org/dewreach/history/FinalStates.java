package org.dewreach.history;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;

/**
 * The final states that this controller knows to be durable, in whichever term the jobs ended.
 *
 * <p>A final state never changes, so any controller may tell it at any time, with or without
 * authority. Only durable states are added: those read from the key-value store, or written to it
 * with its confirmation.
 *
 * <p>The states of the jobs that ended last are kept in the order of their ends; those of older
 * jobs that users asked about are cached by how often they are asked for. Both are bounded; what is
 * not here is read from the key-value store.
 */
public final class FinalStates {
  /**
   * About 200 bytes each, so 2 MB of the smallest controller's heap; half an hour of five ends a
   * second. A default of this project.
   */
  static final int MAX_RECENT = 10_000;

  private static final int MAX_LOOKED_UP = 2_000;

  private final Object2ObjectLinkedOpenHashMap<String, FinalState> recent =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Cache<String, FinalState> lookedUp =
      Caffeine.newBuilder().maximumSize(MAX_LOOKED_UP).executor(Runnable::run).build();

  /** The final state of the job, or null if it is not known here. */
  public FinalState get(String jobId) {
    FinalState known = recent.get(jobId);
    return known != null ? known : lookedUp.getIfPresent(jobId);
  }

  /** Adds the state of a job that has just ended; the oldest gives way to it. */
  public void addEnded(String jobId, FinalState finalState) {
    recent.putAndMoveToLast(jobId, finalState);
    if (recent.size() > MAX_RECENT) {
      recent.removeFirst();
    }
  }

  /** Adds the state of a job that ended at some time and was looked up in the key-value store. */
  public void addLookedUp(String jobId, FinalState finalState) {
    if (!recent.containsKey(jobId)) {
      lookedUp.put(jobId, finalState);
    }
  }

  /** Adds the state of a job that ended at some time, unless there is no room beside later ones. */
  void addListed(String jobId, FinalState finalState) {
    if (!full()) {
      recent.putAndMoveToFirst(jobId, finalState);
    }
  }

  /** True if a further end drops the oldest one. */
  boolean full() {
    return recent.size() >= MAX_RECENT;
  }

  /** How many final states are kept in the order of their ends. */
  public int size() {
    return recent.size();
  }
}
