package org.dewreach.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.dewreach.wire.Codec;

/**
 * The writes that wait for a transaction: urgent ones first, then in the order of their arrival.
 */
final class WriteBacklog {
  /**
   * The maximum number of waiting writes. Further writes are refused, and their users are told to
   * retry.
   */
  private static final int MAX_WAITING_WRITES = 4_000;

  /** The maximum size of a transaction, as estimated here. */
  private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  /** The estimated size of a write, or of a mutation without its value, in a transaction. */
  private static final int OVERHEAD_BYTES = 100;

  /** The maximum number of preconditions in a transaction, for each mutation that it may have. */
  private static final int PRECONDITIONS_PER_MUTATION = 4;

  private final WriteLimits limits;
  private final Deque<ConditionalWrite> urgent = new ArrayDeque<>();
  private final Deque<ConditionalWrite> deferrable = new ArrayDeque<>();

  /** Creates an empty backlog. */
  WriteBacklog(WriteLimits limits) {
    this.limits = limits;
  }

  int size() {
    return urgent.size() + deferrable.size();
  }

  /** Adds a write; returns false if too many are waiting already. */
  boolean offer(ConditionalWrite write) {
    return size() < MAX_WAITING_WRITES && queueOf(write).add(write);
  }

  private Deque<ConditionalWrite> queueOf(ConditionalWrite write) {
    return switch (write.urgency()) {
      case URGENT -> urgent;
      case DEFERRABLE -> deferrable;
    };
  }

  /** Puts writes back ahead of all others of their urgency, in the given order. */
  void requeueFirst(List<ConditionalWrite> writes) {
    for (int i = writes.size() - 1; i >= 0; i--) {
      queueOf(writes.get(i)).addFirst(writes.get(i));
    }
  }

  /** Removes and returns all writes. */
  List<ConditionalWrite> drain() {
    List<ConditionalWrite> writes = new ArrayList<>(urgent);
    writes.addAll(deferrable);
    urgent.clear();
    deferrable.clear();
    return writes;
  }

  /** Removes and returns the writes of the next transaction, possibly none. */
  List<ConditionalWrite> pollBatch(long nowMicros) {
    Batch batch = new Batch(limits.rate().available(nowMicros));
    for (Deque<ConditionalWrite> queue : List.of(urgent, deferrable)) {
      while (!queue.isEmpty()) {
        if (!batch.offer(queue.peek())) {
          return batch.writes;
        }
        queue.poll();
      }
    }
    return batch.writes;
  }

  private static int estimatedBytes(ConditionalWrite write) {
    int bytes = OVERHEAD_BYTES;
    for (Mutation mutation : write.mutations()) {
      bytes += OVERHEAD_BYTES;
      if (!mutation.isDelete()) {
        bytes += Codec.write(mutation.value()).length * 2;
      }
    }
    return bytes;
  }

  /** The writes of one transaction while it is assembled. */
  private final class Batch {
    private final int allowedMutations;
    private final List<ConditionalWrite> writes = new ArrayList<>();
    private int mutations;

    /** Starts with the precondition on the leader key. */
    private int preconditions = 1;

    private int bytes;

    /**
     * Starts an empty batch.
     *
     * @param allowedMutations how many mutations the write rate allows now
     */
    Batch(int allowedMutations) {
      this.allowedMutations = allowedMutations;
    }

    /** Adds a write if it fits. The first write may exceed all limits except the write rate. */
    boolean offer(ConditionalWrite write) {
      int writeBytes = estimatedBytes(write);
      boolean accepted =
          mutations + write.mutations().size() <= allowedMutations
              && (writes.isEmpty() || fits(write, writeBytes));
      if (accepted) {
        writes.add(write);
        mutations += write.mutations().size();
        preconditions += write.preconditions().size();
        bytes += writeBytes;
      }
      return accepted;
    }

    private boolean fits(ConditionalWrite write, int writeBytes) {
      return mutations + write.mutations().size() <= limits.maxMutations()
          && preconditions + write.preconditions().size()
              <= PRECONDITIONS_PER_MUTATION * limits.maxMutations()
          && bytes + writeBytes <= MAX_TRANSACTION_BYTES;
    }
  }
}
