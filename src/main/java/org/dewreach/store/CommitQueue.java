package org.dewreach.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.dewreach.wire.Codec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's writes, grouped: what waits at the same time shares one transaction.
 *
 * <p>One transaction is in flight at a time, and each is conditional on the leader key's stamp. A
 * transaction without a response is sent again unchanged until the outcome is sure. Each carries a
 * mark in its values, by which an earlier copy that was applied after all is recognised.
 */
public final class CommitQueue {
  private static final Logger LOG = LoggerFactory.getLogger(CommitQueue.class);
  private static final long TIMEOUT_MICROS = 1_200_000;
  private static final long RETRY_PAUSE_MICROS = 150_000;

  /** A transaction that is older than this keeps new writes waiting for long. */
  private static final long STALLED_MICROS = 1_500_000;

  /** Writes that wait; more are refused, and their users asked to retry. */
  private static final int MAX_WAITING = 4_000;

  /** Size of a transaction, as estimated here. */
  private static final int MAX_BYTES = 48 * 1024;

  /** Estimate of what a write, or a change beside its value, takes in a transaction. */
  private static final int OVERHEAD_BYTES = 100;

  /** Conditions of a transaction, for each of its changes. */
  private static final int CONDITIONS_PER_CHANGE = 4;

  /** Field of every value that tells which transaction wrote it. */
  public static final String TRANSACTION_ID_FIELD = "w";

  /** Named states of the queue. */
  private enum Phase {
    /** No transaction is under way. */
    IDLE,
    /** A transaction was sent and has no outcome yet. */
    SENT,
    /** Reading whether an earlier copy of the transaction was applied. */
    CHECKING,
    /** The transaction is to be sent again after a pause. */
    PAUSED
  }

  private final KeyValueStore state;
  private final Precondition leader;
  private final int txnOps;
  private final TokenBucket budget;
  private final Runnable onLeaderLost;
  private final Deque<ConditionalWrite> urgent = new ArrayDeque<>();
  private final Deque<ConditionalWrite> relaxed = new ArrayDeque<>();

  private Phase phase = Phase.IDLE;
  private boolean closed;
  private long pausedUntil;
  private List<ConditionalWrite> batch = List.of();
  private boolean unsure;

  /** So many writes are still to be sent one at a time. */
  private int alone;

  private long batchSince;
  private String mark;
  private long lastMark;

  /**
   * An empty queue.
   *
   * @param leader the condition of every transaction: the leader key at the stamp of this term
   * @param txnOps the most changes of a transaction
   * @param budget the share of the write rate that this queue may use
   * @param onLeaderLost called when the leader key turns out to be another's
   */
  public CommitQueue(
      KeyValueStore state,
      Precondition leader,
      int txnOps,
      TokenBucket budget,
      Runnable onLeaderLost) {
    this.state = state;
    this.leader = leader;
    this.txnOps = txnOps;
    this.budget = budget;
    this.onLeaderLost = onLeaderLost;
  }

  /** Writes that have no outcome yet. */
  public int waiting() {
    return urgent.size() + relaxed.size() + batch.size();
  }

  /** True while writes do not get through: what waits for one had better come back. */
  public boolean stalled(long nowMicros) {
    return transactionAgeMicros(nowMicros) > STALLED_MICROS;
  }

  /** Since when the transaction under way has had no outcome; 0 if there is none. */
  public long transactionAgeMicros(long nowMicros) {
    return batch.isEmpty() ? 0 : nowMicros - batchSince;
  }

  /**
   * True while the write may be applied without our knowing: it is on its way, or an earlier copy
   * of it got no answer. A write that waits, or that the service answered as not executed, is
   * certainly not applied.
   */
  public boolean inDoubt(ConditionalWrite write) {
    boolean undecided = unsure || phase == Phase.SENT || phase == Phase.CHECKING;
    return undecided && batch.stream().anyMatch(sent -> sent == write);
  }

  /** False if the queue is full or closed; the write was not taken then. */
  public boolean add(long nowMicros, ConditionalWrite write) {
    if (closed || urgent.size() + relaxed.size() >= MAX_WAITING) {
      return false;
    }
    (write.urgent() ? urgent : relaxed).add(write);
    pump(nowMicros);
    return true;
  }

  /** Called when time has passed. */
  public void tick(long nowMicros) {
    pump(nowMicros);
  }

  /** Gives up on everything: the term is over. */
  public void close(long nowMicros) {
    if (closed) {
      return;
    }
    closed = true;
    List<ConditionalWrite> left = new ArrayList<>(batch);
    left.addAll(urgent);
    left.addAll(relaxed);
    batch = List.of();
    urgent.clear();
    relaxed.clear();
    for (ConditionalWrite write : left) {
      write.done().on(nowMicros, ConditionalWrite.Outcome.UNKNOWN, 0);
    }
  }

  private void become(Phase next) {
    phase = next;
  }

  private void pump(long nowMicros) {
    if (closed || phase == Phase.SENT || phase == Phase.CHECKING) {
      return;
    }
    if (phase == Phase.PAUSED) {
      if (nowMicros < pausedUntil) {
        return;
      }
      become(Phase.IDLE);
      if (!batch.isEmpty()) {
        send(nowMicros);
        return;
      }
    }
    int room = Math.min(txnOps, budget.available(nowMicros));
    batch = gather(room);
    if (batch.isEmpty()) {
      return;
    }
    mark = leader.revision() + "." + (++lastMark);
    unsure = false;
    batchSince = nowMicros;
    for (ConditionalWrite write : batch) {
      for (Mutation change : write.changes()) {
        if (change.value() != null) {
          change.value().put(TRANSACTION_ID_FIELD, mark);
        }
      }
    }
    send(nowMicros);
  }

  private List<ConditionalWrite> gather(int room) {
    List<ConditionalWrite> gathered = new ArrayList<>();
    int ops = 0;
    int conditions = 1;
    int bytes = 0;
    for (Deque<ConditionalWrite> queue : List.of(urgent, relaxed)) {
      while (!queue.isEmpty()) {
        ConditionalWrite next = queue.peek();
        int size = size(next);
        boolean fits =
            ops + next.changes().size() <= room
                && conditions + next.conditions().size() <= CONDITIONS_PER_CHANGE * txnOps
                && bytes + size <= MAX_BYTES;
        if (!fits && !gathered.isEmpty() || next.changes().size() > room) {
          return gathered;
        }
        queue.poll();
        gathered.add(next);
        ops += next.changes().size();
        conditions += next.conditions().size();
        bytes += size;
        if (alone > 0) {
          alone--;
          return gathered;
        }
      }
    }
    return gathered;
  }

  private static int size(ConditionalWrite write) {
    int bytes = OVERHEAD_BYTES;
    for (Mutation change : write.changes()) {
      bytes +=
          OVERHEAD_BYTES + (change.value() == null ? 0 : Codec.write(change.value()).length * 2);
    }
    return bytes;
  }

  private void send(long nowMicros) {
    List<Precondition> conditions = new ArrayList<>();
    conditions.add(leader);
    List<Mutation> changes = new ArrayList<>();
    for (ConditionalWrite write : batch) {
      conditions.addAll(write.conditions());
      changes.addAll(write.changes());
    }
    budget.consume(nowMicros, changes.size());
    become(Phase.SENT);
    state.commit(conditions, changes, 0, TIMEOUT_MICROS, this::onReply);
  }

  private void onReply(long nowMicros, TransactionResult result) {
    if (closed) {
      return;
    }
    if (result instanceof TransactionResult.Committed committed) {
      finish(nowMicros, committed.revision());
    } else if (result instanceof TransactionResult.PreconditionFailed conflict) {
      onConflict(nowMicros, conflict);
    } else if (result instanceof RequestFailure failure) {
      onFailure(nowMicros, failure);
    }
  }

  private void onFailure(long nowMicros, RequestFailure failure) {
    switch (failure.cause()) {
      case NO_RESPONSE -> {
        unsure = true;
        pause(nowMicros);
      }
      case RATE_LIMITED, UNAVAILABLE -> pause(nowMicros);
      case REJECTED -> {
        if (batch.size() > 1) {
          // Guards against one write that the service refuses taking others with it.
          LOG.warn("state service refuses a transaction with {}: trying each write alone", failure);
          alone = batch.size();
          for (Iterator<ConditionalWrite> it = new ArrayDeque<>(batch).descendingIterator();
              it.hasNext(); ) {
            ConditionalWrite write = it.next();
            (write.urgent() ? urgent : relaxed).addFirst(write);
          }
          batch = List.of();
          become(Phase.IDLE);
          pump(nowMicros);
          return;
        }
        // A transaction that the service calls malformed would block the queue for ever.
        LOG.error("state service refuses a transaction with {}: dropping {}", failure, batch);
        List<ConditionalWrite> dropped = batch;
        batch = List.of();
        become(Phase.IDLE);
        dropped.forEach(write -> write.done().on(nowMicros, ConditionalWrite.Outcome.CONFLICT, 0));
        pump(nowMicros);
      }
    }
  }

  private void pause(long nowMicros) {
    pausedUntil = nowMicros + RETRY_PAUSE_MICROS;
    become(Phase.PAUSED);
  }

  private void finish(long nowMicros, long revision) {
    List<ConditionalWrite> written = batch;
    batch = List.of();
    become(Phase.IDLE);
    for (ConditionalWrite write : written) {
      write.done().on(nowMicros, ConditionalWrite.Outcome.WRITTEN, revision);
    }
    pump(nowMicros);
  }

  private void onConflict(long nowMicros, TransactionResult.PreconditionFailed conflict) {
    if (conflict.keys().contains(leader.key())) {
      onLeaderLost.run();
      return;
    }
    Mutation put = unsure ? firstPut() : null;
    if (put == null) {
      dropFailed(nowMicros, conflict);
      return;
    }
    // An earlier copy may have been applied: its mark tells.
    become(Phase.CHECKING);
    state.get(put.key(), (now, result) -> onChecked(now, result, conflict));
  }

  private void onChecked(
      long nowMicros, ReadResult result, TransactionResult.PreconditionFailed conflict) {
    if (closed) {
      return;
    }
    if (result instanceof RequestFailure) {
      pause(nowMicros);
    } else if (result instanceof KeyValue found
        && mark.equals(found.value().path(TRANSACTION_ID_FIELD).asText())) {
      finish(nowMicros, found.revision());
    } else {
      dropFailed(nowMicros, conflict);
    }
  }

  private Mutation firstPut() {
    for (ConditionalWrite write : batch) {
      for (Mutation change : write.changes()) {
        if (change.value() != null) {
          return change;
        }
      }
    }
    return null;
  }

  /** Takes the writes whose own conditions failed out of the batch and sends the rest anew. */
  private void dropFailed(long nowMicros, TransactionResult.PreconditionFailed conflict) {
    List<ConditionalWrite> dropped = new ArrayList<>();
    List<ConditionalWrite> kept = new ArrayList<>();
    for (ConditionalWrite write : batch) {
      boolean failed = write.conditions().stream().anyMatch(c -> conflict.keys().contains(c.key()));
      (failed ? dropped : kept).add(write);
    }
    if (dropped.isEmpty()) {
      // The service may name only some keys; without any of ours the batch cannot make progress.
      dropped = kept;
      kept = List.of();
    }
    batch = List.of();
    become(Phase.IDLE);
    for (Iterator<ConditionalWrite> it = new ArrayDeque<>(kept).descendingIterator();
        it.hasNext(); ) {
      ConditionalWrite write = it.next();
      (write.urgent() ? urgent : relaxed).addFirst(write);
    }
    for (ConditionalWrite write : dropped) {
      write.done().on(nowMicros, ConditionalWrite.Outcome.CONFLICT, 0);
    }
    pump(nowMicros);
  }
}
