package org.dewreach.state;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStateRecord;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.ConditionalWrite;
import org.dewreach.store.ConditionalWrite.Urgency;
import org.dewreach.store.Keys;
import org.dewreach.store.Mutation;
import org.dewreach.store.Precondition;
import org.dewreach.store.WriteLimits;
import org.dewreach.wire.JobState;

/**
 * Writes the records of jobs, with at most one write in flight for each job. Each write is
 * therefore conditional on the revision of the one before, and a late copy of a write has no
 * effect.
 */
public final class JobRecordWriter {
  /**
   * The minimum time between progress writes of a job. Progress only saves work, so it is batched
   * to leave the store's write rate to writes that users wait for.
   */
  private static final long PROGRESS_INTERVAL_MICROS = 4_000_000;

  /** The delay after which a write that the store rejected is made again, with a smaller record. */
  private static final long REJECTED_RETRY_DELAY_MICROS = 2_000_000;

  /** No progress is written while at least this many writes are pending. */
  private static final int PROGRESS_PENDING_LIMIT = 12;

  /** Decides when a cancellation may be made durable. */
  public interface CancellationCheck {
    /**
     * True if all tasks of the job are gone, or will be gone in time after the cancellation is
     * confirmed to its user.
     */
    boolean tasksEndInTime(Job job, long nowMicros);
  }

  /**
   * What to do if the first record of a job is not written; each receives the time.
   *
   * @param onConflict called if another record of the job exists, or the leaderless one has changed
   * @param onRejected called if the store rejected the record
   */
  public record FirstRecordFailure(LongConsumer onConflict, LongConsumer onRejected) {}

  /** An action that runs once a write is durable at a revision. */
  private interface OnWritten {
    void run(long nowMicros, long revision);
  }

  /**
   * A write whose outcome is not known yet.
   *
   * @param endsJob true if the write contains the job's final state or its cancellation
   */
  private record PendingWrite(ConditionalWrite write, boolean endsJob) {}

  private final CommitQueue queue;
  private final WriteLimits limits;
  private final CancellationCheck cancellationCheck;
  private final DurabilityListener listener;
  private final Map<Job, PendingWrite> pendingWrites = new HashMap<>();

  /** The time before which no record of a job is written, because the last one was rejected. */
  private final Map<Job, Long> retryNotBefore = new HashMap<>();

  private boolean mayFinalizeCancelled;

  /** Creates a writer that adds its writes to the given queue and fits records to the limits. */
  public JobRecordWriter(
      CommitQueue queue,
      WriteLimits limits,
      CancellationCheck cancellationCheck,
      DurabilityListener listener) {
    this.queue = queue;
    this.limits = limits;
    this.cancellationCheck = cancellationCheck;
    this.listener = listener;
  }

  /**
   * Allows final states of jobs that were cancelled in an earlier term.
   *
   * <p>Until every machine has sent a heartbeat, tasks of such a job may still run on some machine.
   * Its record must be kept until then; otherwise these tasks would not count against any team's
   * quota.
   */
  public void allowFinalizingCancelled() {
    mayFinalizeCancelled = true;
  }

  /** True while writes to the key-value store make no progress. */
  public boolean stalled(long nowMicros) {
    return queue.stalled(nowMicros);
  }

  /**
   * True while the job's final state or its cancellation may be durable without confirmation to
   * this controller, so that another controller may already have read it. Otherwise the last state
   * known to be durable is the current one.
   */
  public boolean endInDoubt(Job job) {
    PendingWrite pending = pendingWrites.get(job);
    return pending != null && pending.endsJob() && queue.inDoubt(pending.write());
  }

  /**
   * Writes a new job.
   *
   * @param onFailure called if the job already has a record, or its record is rejected
   * @return false if the queue is full
   */
  public boolean writeNewJob(Job job, long nowMicros, FirstRecordFailure onFailure) {
    return writeFirstRecord(
        job,
        Precondition.absent(Keys.leaderlessJob(job.id())),
        List.of(putRecord(record(job, false))),
        JobPhase.ACTIVE,
        nowMicros,
        onFailure);
  }

  /**
   * Moves the record of a job that was accepted without a leader to the leader's job records.
   *
   * @param revision the revision of the record that was read
   * @param onFailure called if the record was changed since then, or the new one is rejected
   * @return false if the queue is full
   */
  boolean writeImportedJob(
      Job job, long revision, boolean cancelled, long nowMicros, FirstRecordFailure onFailure) {
    String leaderlessKey = Keys.leaderlessJob(job.id());
    return writeFirstRecord(
        job,
        Precondition.unchanged(leaderlessKey, revision),
        List.of(putRecord(record(job, cancelled)), Mutation.delete(leaderlessKey)),
        cancelled ? JobPhase.CANCELLED : JobPhase.ACTIVE,
        nowMicros,
        onFailure);
  }

  private boolean writeFirstRecord(
      Job job,
      Precondition leaderlessKey,
      List<Mutation> mutations,
      JobPhase phaseOnceWritten,
      long nowMicros,
      FirstRecordFailure onFailure) {
    ConditionalWrite write =
        new ConditionalWrite(
            List.of(
                leaderlessKey,
                Precondition.absent(Keys.job(job.id())),
                Precondition.absent(Keys.finalState(job.id()))),
            mutations,
            Urgency.URGENT,
            onOutcome(
                job,
                (now, revision) -> {
                  job.storedState().revision(revision);
                  job.changePhase(phaseOnceWritten);
                  listener.onAccepted(job, now);
                  writeIfDue(job, now);
                },
                onFailure.onConflict(),
                onFailure.onRejected()));
    return offer(job, new PendingWrite(write, false), nowMicros);
  }

  /**
   * Writes the progress, cancellation or final state of the job if one of them is due and no write
   * of the job is in flight.
   */
  public void writeIfDue(Job job, long nowMicros) {
    if (pendingWrites.containsKey(job) || nowMicros < retryNotBefore.getOrDefault(job, 0L)) {
      return;
    }
    switch (job.phase()) {
      case CANCEL_REQUESTED -> {
        if (job.allTasksDone()) {
          finalizeJob(job, nowMicros);
        } else if (cancellationCheck.tasksEndInTime(job, nowMicros)) {
          job.changePhase(JobPhase.CANCEL_COMMITTING);
          job.cancelledAt(nowMicros);
          writeCancellation(job, nowMicros);
        }
      }
      case CANCEL_COMMITTING -> writeCancellation(job, nowMicros);
      case CANCELLED -> {
        if (job.boundTasks().isEmpty() && (job.addedThisTerm() || mayFinalizeCancelled)) {
          finalizeJob(job, nowMicros);
        }
      }
      case ACTIVE -> {
        if (job.allTasksDone()) {
          finalizeJob(job, nowMicros);
        } else if (progressDue(job, nowMicros)) {
          writeProgress(job, nowMicros);
        }
      }
      // The write of the final state was not accepted by the queue, or was rejected by the store.
      case FINALIZING -> writeFinalState(job, nowMicros);
      case PERSISTING, ENDED -> {
        // nothing to write
      }
    }
  }

  private boolean progressDue(Job job, long nowMicros) {
    return nowMicros - job.storedState().progressWrittenAt() >= PROGRESS_INTERVAL_MICROS
        && !job.doneTasks().equals(job.storedState().doneTasks())
        && queue.pendingWrites() < PROGRESS_PENDING_LIMIT;
  }

  private void writeProgress(Job job, long nowMicros) {
    job.storedState().progressWrittenAt(nowMicros);
    JobRecord next = record(job, false);
    if (next.done().cardinality() <= job.storedState().doneTasks().cardinality()) {
      // With a lowered value limit, the stored record may contain more tasks than a new one can.
      return;
    }
    ConditionalWrite write = overwrite(job, next, Urgency.DEFERRABLE, now -> writeIfDue(job, now));
    offer(job, new PendingWrite(write, false), nowMicros);
  }

  private void writeCancellation(Job job, long nowMicros) {
    ConditionalWrite write =
        overwrite(
            job,
            record(job, true),
            Urgency.URGENT,
            now -> {
              job.changePhase(JobPhase.CANCELLED);
              listener.onCancelled(job, now);
              writeIfDue(job, now);
            });
    job.storedState().progressWrittenAt(nowMicros);
    offer(job, new PendingWrite(write, true), nowMicros);
  }

  /** Returns a write that replaces the job's stored record. */
  private ConditionalWrite overwrite(
      Job job, JobRecord next, Urgency urgency, LongConsumer onWritten) {
    return new ConditionalWrite(
        List.of(Precondition.unchanged(Keys.job(job.id()), job.storedState().revision())),
        List.of(putRecord(next)),
        urgency,
        onOutcome(
            job,
            (now, revision) -> {
              job.storedState().revision(revision);
              job.storedState().doneTasks(next.done());
              onWritten.accept(now);
            },
            now -> reportConflict(job, now),
            now -> deferWrites(job, now)));
  }

  private void finalizeJob(Job job, long nowMicros) {
    job.changePhase(JobPhase.FINALIZING);
    writeFinalState(job, nowMicros);
  }

  private void writeFinalState(Job job, long nowMicros) {
    boolean cancelled = job.finalState() == JobState.CANCELLED;
    String jobKey = Keys.job(job.id());
    String finalKey = Keys.finalState(job.id());
    FinalState finalState = new FinalState(job.finalState(), job.doneCount());
    ConditionalWrite write =
        new ConditionalWrite(
            List.of(
                Precondition.unchanged(jobKey, job.storedState().revision()),
                Precondition.absent(finalKey)),
            List.of(
                Mutation.put(finalKey, FinalStateRecord.encode(finalState)),
                Mutation.delete(jobKey)),
            cancelled ? Urgency.DEFERRABLE : Urgency.URGENT,
            onOutcome(
                job,
                (now, revision) -> {
                  job.changePhase(JobPhase.ENDED);
                  listener.onEnded(job, now);
                },
                now -> reportConflict(job, now),
                now -> deferWrites(job, now)));
    offer(job, new PendingWrite(write, true), nowMicros);
  }

  /** Returns a record of the job as it is now, with as many completed tasks as a value can hold. */
  private JobRecord record(Job job, boolean cancelled) {
    BitSet done = (BitSet) job.doneTasks().clone();
    return new JobRecord(job.spec(), job.acceptedWallMicros(), cancelled, done)
        .fittedTo(limits.maxValueBytes());
  }

  private static Mutation putRecord(JobRecord jobRecord) {
    return Mutation.put(Keys.job(jobRecord.spec().id()), jobRecord.encode());
  }

  private boolean offer(Job job, PendingWrite pending, long nowMicros) {
    pendingWrites.put(job, pending);
    boolean accepted = queue.offer(nowMicros, pending.write());
    if (!accepted) {
      pendingWrites.remove(job);
    }
    return accepted;
  }

  private ConditionalWrite.Callback onOutcome(
      Job job, OnWritten onWritten, LongConsumer onConflict, LongConsumer onRejected) {
    return (now, outcome, revision) -> {
      pendingWrites.remove(job);
      retryNotBefore.remove(job);
      switch (outcome) {
        case WRITTEN -> onWritten.run(now, revision);
        case CONFLICT -> onConflict.accept(now);
        case REJECTED -> onRejected.accept(now);
        case UNKNOWN -> {
          // The term is over; the next leader reads what was applied.
        }
      }
    };
  }

  /** Defers the next write of a job whose record was rejected; that record may be smaller. */
  private void deferWrites(Job job, long nowMicros) {
    retryNotBefore.put(job, nowMicros + REJECTED_RETRY_DELAY_MICROS);
  }

  private void reportConflict(Job job, long nowMicros) {
    listener.onRecordConflict(
        "record of " + job.id() + " was changed by another writer", nowMicros);
  }
}
