package org.dewreach.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Queue of the leader's writes. Writes that wait at the same time share one transaction.
 *
 * <p>One transaction is in flight at a time, and each is conditional on the revision of the leader
 * key. A transaction that gets no response is sent again unchanged until its outcome is known. One
 * that the store does not execute because of a limit is put together anew, within {@link
 * WriteLimits}; if a response to it was missed before, its writes stay {@linkplain UncertainWrites
 * uncertain}.
 */
public final class CommitQueue {
  private static final Logger LOG = LoggerFactory.getLogger(CommitQueue.class);
  private static final long COMMIT_TIMEOUT_MICROS = 1_200_000;
  private static final long RETRY_DELAY_MICROS = 150_000;

  /** Writes count as stalled if none has had an outcome for this long. */
  private static final long STALL_THRESHOLD_MICROS = 1_500_000;

  /** The field of every stored value that contains the id of the transaction that wrote it. */
  public static final String TRANSACTION_ID_FIELD = "w";

  private enum Phase {
    /** There is no current transaction. */
    IDLE,
    /** A transaction was sent and has no outcome yet. */
    SENT,
    /** A read is in flight that shows whether an earlier copy of the transaction was applied. */
    VERIFYING,
    /** The transaction, or a new one of the same writes, will be sent after a delay. */
    BACKING_OFF,
    /** The term is over. */
    CLOSED
  }

  private final KeyValueStore store;
  private final Precondition leaderKey;
  private final WriteLimits limits;
  private final Runnable onLeaderLost;
  private final WriteBacklog backlog;
  private final TransactionSizeSearch sizeSearch;
  private final UncertainWrites uncertain = new UncertainWrites();

  private Phase phase = Phase.IDLE;
  private long retryAtMicros;

  /** The current transaction, or null. */
  private GroupedTransaction transaction;

  /** True while writes have been sent of which none has had an outcome. */
  private boolean awaitingOutcome;

  private long awaitingSince;
  private long lastTransactionNumber;

  /**
   * Creates an empty queue.
   *
   * @param leaderKey a precondition of every transaction: the leader key at the revision of this
   *     term
   * @param limits the store's limits, to which transactions are fitted
   * @param onLeaderLost called if the leader key has changed
   */
  public CommitQueue(
      KeyValueStore store, Precondition leaderKey, WriteLimits limits, Runnable onLeaderLost) {
    this.store = store;
    this.leaderKey = leaderKey;
    this.limits = limits;
    this.onLeaderLost = onLeaderLost;
    this.backlog = new WriteBacklog(limits);
    this.sizeSearch = new TransactionSizeSearch(limits);
  }

  /** Returns the number of writes that have no outcome yet. */
  public int pendingWrites() {
    return backlog.size() + (transaction == null ? 0 : transaction.writes().size());
  }

  /** True while writes make no progress, so that a user who waits for one should retry later. */
  public boolean stalled(long nowMicros) {
    return transactionAgeMicros(nowMicros) > STALL_THRESHOLD_MICROS;
  }

  /** Returns for how long writes that were sent have had no outcome, or 0 if there are none. */
  public long transactionAgeMicros(long nowMicros) {
    return awaitingOutcome ? nowMicros - awaitingSince : 0;
  }

  /**
   * True while the write may have been applied although its outcome is not known: it is in flight,
   * or an earlier transaction with it got no response. Otherwise a write that is queued, or that
   * the store reported as not executed, is certainly not applied.
   */
  public boolean inDoubt(ConditionalWrite write) {
    boolean inFlight =
        transaction != null
            && (transaction.responseMissed() || phase == Phase.SENT || phase == Phase.VERIFYING)
            && transaction.contains(write);
    return inFlight || uncertain.contains(write);
  }

  /** Adds a write. Returns false, without adding it, if the queue is full or closed. */
  public boolean offer(long nowMicros, ConditionalWrite write) {
    if (phase == Phase.CLOSED || !backlog.offer(write)) {
      return false;
    }
    sendNext(nowMicros);
    return true;
  }

  /** Sends what is due; called periodically. */
  public void tick(long nowMicros) {
    sendNext(nowMicros);
  }

  /** Ends the term: reports the outcome of all pending writes as unknown. */
  public void close(long nowMicros) {
    if (phase == Phase.CLOSED) {
      return;
    }
    setPhase(Phase.CLOSED);
    sizeSearch.stop();
    awaitingOutcome = false;
    List<ConditionalWrite> writes = new ArrayList<>();
    if (transaction != null) {
      writes.addAll(transaction.writes());
    }
    writes.addAll(backlog.drain());
    transaction = null;
    uncertain.clear();
    report(nowMicros, writes, ConditionalWrite.Outcome.UNKNOWN, 0);
  }

  private void setPhase(Phase next) {
    phase = next;
  }

  /** Sends the next transaction, or the current one again, unless one is in flight. */
  private void sendNext(long nowMicros) {
    switch (phase) {
      case IDLE -> startTransaction(nowMicros);
      case BACKING_OFF -> {
        if (nowMicros >= retryAtMicros) {
          sendAgain(nowMicros);
        }
      }
      case SENT, VERIFYING, CLOSED -> {
        // nothing can be sent now
      }
    }
  }

  private void sendAgain(long nowMicros) {
    if (transaction != null) {
      send(nowMicros);
    } else {
      setPhase(Phase.IDLE);
      startTransaction(nowMicros);
    }
  }

  private void startTransaction(long nowMicros) {
    List<ConditionalWrite> writes = backlog.pollBatch(nowMicros);
    if (writes.isEmpty()) {
      return;
    }
    String id = leaderKey.revision() + "." + ++lastTransactionNumber;
    transaction = new GroupedTransaction(id, writes);
    if (!awaitingOutcome) {
      awaitingOutcome = true;
      awaitingSince = nowMicros;
    }
    send(nowMicros);
  }

  private void send(long nowMicros) {
    List<Mutation> mutations = transaction.mutations();
    limits.rate().consume(nowMicros, mutations.size());
    setPhase(Phase.SENT);
    store.commit(
        transaction.preconditions(leaderKey), mutations, 0, COMMIT_TIMEOUT_MICROS, this::onResult);
  }

  private void onResult(long nowMicros, TransactionResult result) {
    if (phase == Phase.CLOSED) {
      return;
    }
    if (result instanceof TransactionResult.Committed committed) {
      finish(
          nowMicros, transaction.writes(), ConditionalWrite.Outcome.WRITTEN, committed.revision());
    } else if (result instanceof TransactionResult.PreconditionFailed conflict) {
      onConflict(nowMicros, conflict);
    } else if (result instanceof RequestFailure failure) {
      onFailure(nowMicros, failure);
    }
  }

  private void onFailure(long nowMicros, RequestFailure failure) {
    switch (failure.cause()) {
      case NO_RESPONSE, UNEXPECTED_STATUS -> {
        transaction.markResponseMissed();
        backOff(nowMicros);
      }
      case RATE_LIMITED -> onRateLimited(nowMicros);
      case UNAVAILABLE -> backOff(nowMicros);
      case REJECTED -> onRejected(nowMicros, failure);
    }
  }

  /**
   * Puts the writes together anew. Guards against a transaction that never gets through because it
   * has more mutations than the lowered rate allows at once.
   */
  private void onRateLimited(long nowMicros) {
    limits.onRateLimited(nowMicros, transaction.mutations().size());
    takeApart();
    backOff(nowMicros);
  }

  /** Ends the current transaction and queues its writes again, ahead of all others. */
  private void takeApart() {
    uncertain.addIfUncertain(transaction);
    backlog.requeueFirst(endTransaction());
  }

  private void backOff(long nowMicros) {
    retryAtMicros = nowMicros + RETRY_DELAY_MICROS;
    setPhase(Phase.BACKING_OFF);
  }

  private void onRejected(long nowMicros, RequestFailure failure) {
    limits.onRejected();
    List<ConditionalWrite> writes = transaction.writes();
    LOG.warn(
        "transaction rejected: transaction={} cause={} mutations={} max_mutations={}"
            + " largest_value_bytes={} max_value_bytes={} keys=\"{}\"",
        transaction.id(),
        failure,
        transaction.mutations().size(),
        limits.maxMutations(),
        transaction.largestValueBytes(),
        limits.maxValueBytes(),
        transaction.keys());
    if (writes.size() == 1) {
      onRejectedAlone(nowMicros, writes.get(0));
      return;
    }
    // Guards against a rejected write causing the other writes of its transaction to fail.
    sizeSearch.onRejected(writes, transaction.mutations().size());
    takeApart();
    sendNext(nowMicros);
  }

  private void onRejectedAlone(long nowMicros, ConditionalWrite write) {
    sizeSearch.onRejectedAlone();
    limits.onRejectedAlone(write.largestValueBytes());
    if (mayBeApplied(write) && !write.preconditions().isEmpty()) {
      verify(write, this::onOutcomeUnknowable);
    } else {
      finish(nowMicros, List.of(write), ConditionalWrite.Outcome.REJECTED, 0);
    }
  }

  /**
   * Ends the term, because an earlier copy of a write may still be applied and the write cannot be
   * sent again. The next leader reads what was applied, and no copy is applied after that.
   */
  private void onOutcomeUnknowable(long nowMicros) {
    LOG.warn(
        "outcome of rejected write unknown, giving up the lead: transaction={}", transaction.id());
    backOff(nowMicros);
    onLeaderLost.run();
  }

  /** Records that the store processed a transaction with these writes, so writes make progress. */
  private void onProcessed(List<ConditionalWrite> writes) {
    awaitingOutcome = false;
    limits.rate().onProcessed();
    sizeSearch.onProcessed(writes);
  }

  private void onConflict(long nowMicros, TransactionResult.PreconditionFailed conflict) {
    if (conflict.keys().contains(leaderKey.key())) {
      onLeaderLost.run();
      return;
    }
    List<ConditionalWrite> failed = transaction.failedWrites(conflict.keys());
    List<ConditionalWrite> certain = failed.stream().filter(write -> !mayBeApplied(write)).toList();
    Optional<ConditionalWrite> suspect = failed.stream().filter(this::mayBeApplied).findFirst();
    if (suspect.isEmpty()) {
      finish(nowMicros, certain, ConditionalWrite.Outcome.CONFLICT, 0);
      return;
    }
    // An earlier copy may have been applied. That its precondition fails does not tell: it fails
    // also because the copy was applied.
    List<ConditionalWrite> dropped = new ArrayList<>(certain);
    dropped.add(suspect.get());
    verify(suspect.get(), now -> finish(now, dropped, ConditionalWrite.Outcome.CONFLICT, 0));
  }

  private boolean mayBeApplied(ConditionalWrite write) {
    return uncertain.mayBeApplied(write, transaction);
  }

  /**
   * Reads the value that the write puts: it contains the id of the transaction that wrote it.
   *
   * @param ifNotApplied called if no transaction that contained the write wrote it
   */
  private void verify(ConditionalWrite write, LongConsumer ifNotApplied) {
    setPhase(Phase.VERIFYING);
    store.get(
        write.firstPutKey().orElseThrow(), (now, result) -> onVerified(now, result, ifNotApplied));
  }

  private void onVerified(long nowMicros, ReadResult result, LongConsumer ifNotApplied) {
    if (phase == Phase.CLOSED) {
      return;
    }
    if (result instanceof RequestFailure) {
      backOff(nowMicros);
      return;
    }
    List<ConditionalWrite> applied =
        result instanceof KeyValue entry ? uncertain.appliedWith(entry, transaction) : List.of();
    if (applied.isEmpty()) {
      ifNotApplied.accept(nowMicros);
    } else {
      long revision = ((KeyValue) result).revision();
      finish(nowMicros, applied, ConditionalWrite.Outcome.WRITTEN, revision);
    }
  }

  /** Reports the outcome of some writes of the current transaction, and queues the others again. */
  private void finish(
      long nowMicros,
      List<ConditionalWrite> finished,
      ConditionalWrite.Outcome outcome,
      long revision) {
    uncertain.addIfUncertain(transaction);
    List<ConditionalWrite> writes = endTransaction();
    onProcessed(writes);
    finished.forEach(uncertain::remove);
    backlog.requeueFirst(writes.stream().filter(write -> !finished.contains(write)).toList());
    report(nowMicros, finished, outcome, revision);
    sendNext(nowMicros);
  }

  /** Ends the current transaction; returns its writes, which have no outcome yet. */
  private List<ConditionalWrite> endTransaction() {
    List<ConditionalWrite> writes = transaction.writes();
    transaction = null;
    setPhase(Phase.IDLE);
    return writes;
  }

  private static void report(
      long nowMicros,
      List<ConditionalWrite> writes,
      ConditionalWrite.Outcome outcome,
      long revision) {
    writes.forEach(write -> write.callback().onOutcome(nowMicros, outcome, revision));
  }
}
