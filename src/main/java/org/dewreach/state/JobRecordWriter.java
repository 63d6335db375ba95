package org.dewreach.state;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStateRecord;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.ConditionalWrite;
import org.dewreach.store.Keys;
import org.dewreach.store.Mutation;
import org.dewreach.store.Precondition;
import org.dewreach.wire.JobState;

/**
 * What the leader writes: one write in flight for each job, so that each is conditional on the
 * stamp of the one before and a late copy of any can change nothing.
 */
public final class JobRecordWriter {
  /** Progress is only saved work: it is gathered so that it leaves the rate to users' writes. */
  private static final long PROGRESS_INTERVAL_MICROS = 4_000_000;

  private static final int MAX_WAITING_FOR_PROGRESS = 12;

  /** Told when something became durable. */
  public interface Listener {
    void onAccepted(Job job, long nowMicros);

    void onCancelled(Job job, long nowMicros);

    void onEnded(Job job, long nowMicros);

    /** Machines were marked, so that they may be given commands. */
    void onMarked(long nowMicros);

    /** A write failed that only a stale record of ours explains: rebuild from the state service. */
    void onBroken(String why, long nowMicros);
  }

  /** Tells whether all tasks of a job are gone, or will be soon enough after its user is told. */
  public interface Gate {
    boolean goneInTime(Job job, long nowMicros);
  }

  private final CommitQueue queue;
  private final Gate gate;
  private final Listener listener;

  /** For each job whose end is to be written, that write; until its outcome is known. */
  private final Map<String, ConditionalWrite> ends = new HashMap<>();

  private boolean mayFinalizeCancelled;

  public JobRecordWriter(CommitQueue queue, Gate gate, Listener listener) {
    this.queue = queue;
    this.gate = gate;
    this.listener = listener;
  }

  /**
   * Until every machine was heard, a cancelled job of an earlier term may still run somewhere: its
   * record has to stay, or those tasks would be counted for no team.
   */
  public void allowFinalizingCancelled() {
    mayFinalizeCancelled = true;
  }

  /** True while nothing can be made durable. */
  public boolean stalled(long nowMicros) {
    return queue.stalled(nowMicros);
  }

  /**
   * True while the job's end, or its cancellation, may be durable without our knowing: another node
   * may have read it then. Otherwise the last durable state is the current one.
   */
  public boolean endInDoubt(Job job) {
    ConditionalWrite end = ends.get(job.id());
    return end != null && queue.inDoubt(end);
  }

  /**
   * Takes over a job that was accepted without a leader; false if the queue is full.
   *
   * @param stamp of the record as read: if it changed since, the job is looked at again
   */
  boolean adopt(Job job, long stamp, boolean cancelled, long nowMicros, Runnable onChanged) {
    job.record().writeInFlight(true);
    Mutation put =
        new Mutation(
            Keys.job(job.id()),
            JobRecord.encode(job.spec(), job.acceptedWallMicros(), cancelled, job.done()));
    return queue.add(
        nowMicros,
        new ConditionalWrite(
            List.of(
                new Precondition(Keys.leaderlessJob(job.id()), stamp),
                new Precondition(Keys.job(job.id()), 0),
                new Precondition(Keys.finalState(job.id()), 0)),
            List.of(put, new Mutation(Keys.leaderlessJob(job.id()), null)),
            true,
            (now, outcome, revision) -> {
              job.record().writeInFlight(false);
              switch (outcome) {
                case WRITTEN -> {
                  job.record().revision(revision);
                  job.become(cancelled ? JobPhase.CANCELLED : JobPhase.ACTIVE);
                  listener.onAccepted(job, now);
                  pump(job, now);
                }
                case CONFLICT -> onChanged.run();
                case UNKNOWN -> {
                  // the term is over; the next leader takes it over
                }
              }
            }));
  }

  /** Writes a new job; false if the queue is full. */
  public boolean accept(Job job, long nowMicros, Runnable onKnownAlready) {
    job.record().writeInFlight(true);
    List<Precondition> conditions =
        List.of(
            new Precondition(Keys.leaderlessJob(job.id()), 0),
            new Precondition(Keys.job(job.id()), 0),
            new Precondition(Keys.finalState(job.id()), 0));
    Mutation put =
        new Mutation(
            Keys.job(job.id()),
            JobRecord.encode(job.spec(), job.acceptedWallMicros(), false, job.done()));
    return queue.add(
        nowMicros,
        new ConditionalWrite(
            conditions,
            List.of(put),
            true,
            (now, outcome, revision) -> {
              job.record().writeInFlight(false);
              switch (outcome) {
                case WRITTEN -> {
                  job.record().revision(revision);
                  job.become(JobPhase.ACTIVE);
                  listener.onAccepted(job, now);
                  pump(job, now);
                }
                case CONFLICT -> onKnownAlready.run();
                case UNKNOWN -> {
                  // the term is over; its users were told to come back
                }
              }
            }));
  }

  /** Writes what is due for the job, if anything. */
  public void pump(Job job, long nowMicros) {
    if (job.record().writeInFlight()) {
      return;
    }
    switch (job.phase()) {
      case CANCEL_REQUESTED -> {
        if (job.complete()) {
          finish(job, nowMicros);
        } else if (gate.goneInTime(job, nowMicros)) {
          job.become(JobPhase.CANCEL_COMMITTING);
          job.cancelledAt(nowMicros);
          write(job, true, true, nowMicros);
        }
      }
      case CANCEL_COMMITTING -> write(job, true, true, nowMicros);
      case CANCELLED -> {
        if (job.bound().isEmpty() && (job.submittedThisTerm() || mayFinalizeCancelled)) {
          finish(job, nowMicros);
        }
      }
      case ACTIVE -> {
        if (job.complete()) {
          finish(job, nowMicros);
        } else if (nowMicros - job.record().progressWrittenAt() >= PROGRESS_INTERVAL_MICROS
            && !job.done().equals(job.record().done())
            && queue.waiting() < MAX_WAITING_FOR_PROGRESS) {
          write(job, false, false, nowMicros);
        }
      }
      case PERSISTING, FINALIZING, ENDED -> {
        // nothing to write
      }
    }
  }

  private void write(Job job, boolean cancelled, boolean urgent, long nowMicros) {
    BitSet snapshot = (BitSet) job.done().clone();
    Mutation put =
        new Mutation(
            Keys.job(job.id()),
            JobRecord.encode(job.spec(), job.acceptedWallMicros(), cancelled, snapshot));
    job.record().writeInFlight(true);
    job.record().progressWrittenAt(nowMicros);
    ConditionalWrite write =
        new ConditionalWrite(
            List.of(new Precondition(Keys.job(job.id()), job.record().revision())),
            List.of(put),
            urgent,
            (now, outcome, revision) -> {
              decided(job);
              switch (outcome) {
                case WRITTEN -> {
                  job.record().revision(revision);
                  job.record().done(JobRecord.kept(snapshot));
                  if (cancelled) {
                    job.become(JobPhase.CANCELLED);
                    listener.onCancelled(job, now);
                  }
                  pump(job, now);
                }
                case CONFLICT -> listener.onBroken(job.id() + " changed by somebody", now);
                case UNKNOWN -> {
                  // the term is over
                }
              }
            });
    if (cancelled) {
      ends.put(job.id(), write);
    }
    if (!queue.add(nowMicros, write)) {
      decided(job);
    }
  }

  /** The write of the job's record has an outcome, or was not taken. */
  private void decided(Job job) {
    job.record().writeInFlight(false);
    ends.remove(job.id());
  }

  private void finish(Job job, long nowMicros) {
    boolean cancelled = job.phase() == JobPhase.CANCELLED;
    JobState jobState = cancelled ? JobState.CANCELLED : JobState.DONE;
    List<Mutation> changes = new ArrayList<>();
    FinalState finalState = new FinalState(jobState, job.doneCount());
    changes.add(new Mutation(Keys.finalState(job.id()), FinalStateRecord.encode(finalState)));
    changes.add(new Mutation(Keys.job(job.id()), null));
    ConditionalWrite write =
        new ConditionalWrite(
            List.of(
                new Precondition(Keys.job(job.id()), job.record().revision()),
                new Precondition(Keys.finalState(job.id()), 0)),
            changes,
            !cancelled,
            (now, outcome, revision) -> {
              decided(job);
              switch (outcome) {
                case WRITTEN -> {
                  job.become(JobPhase.ENDED);
                  listener.onEnded(job, now);
                }
                case CONFLICT -> listener.onBroken(job.id() + " changed by somebody", now);
                case UNKNOWN -> {
                  // the term is over
                }
              }
            });
    job.record().writeInFlight(true);
    job.become(JobPhase.FINALIZING);
    ends.put(job.id(), write);
    if (!queue.add(nowMicros, write)) {
      listener.onBroken("write queue full", nowMicros);
    }
  }
}
