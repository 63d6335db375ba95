package org.dewreach.state;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dewreach.history.FinalState;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.store.Change;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.Condition;
import org.dewreach.store.Keys;
import org.dewreach.store.Write;
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

    void onWithdrawn(Job job, long nowMicros);

    void onOver(Job job, long nowMicros);

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
  private final Map<String, Write> ends = new HashMap<>();

  private boolean mayFinishWithdrawn;

  public JobRecordWriter(CommitQueue queue, Gate gate, Listener listener) {
    this.queue = queue;
    this.gate = gate;
    this.listener = listener;
  }

  /**
   * Until every machine was heard, a withdrawn job of an earlier term may still run somewhere: its
   * record has to stay, or those tasks would be counted for no team.
   */
  public void allowFinishingWithdrawn() {
    mayFinishWithdrawn = true;
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
    Write end = ends.get(job.id());
    return end != null && queue.inDoubt(end);
  }

  /**
   * Takes over a job that was accepted without a leader; false if the queue is full.
   *
   * @param stamp of the record as read: if it changed since, the job is looked at again
   */
  boolean adopt(Job job, long stamp, boolean withdrawn, long nowMicros, Runnable onChanged) {
    job.writing(true);
    Change put =
        new Change(
            Keys.job(job.id()),
            JobRecord.encode(job.spec(), job.acceptedWallMicros(), withdrawn, job.done()));
    return queue.add(
        nowMicros,
        new Write(
            List.of(
                new Condition(Keys.newJob(job.id()), stamp),
                new Condition(Keys.job(job.id()), 0),
                new Condition(Keys.over(job.id()), 0)),
            List.of(put, new Change(Keys.newJob(job.id()), null)),
            true,
            (now, outcome, revision) -> {
              job.writing(false);
              switch (outcome) {
                case WRITTEN -> {
                  job.stamp(revision);
                  job.become(withdrawn ? JobPhase.WITHDRAWN : JobPhase.LIVE);
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
    job.writing(true);
    List<Condition> conditions =
        List.of(
            new Condition(Keys.newJob(job.id()), 0),
            new Condition(Keys.job(job.id()), 0),
            new Condition(Keys.over(job.id()), 0));
    Change put =
        new Change(
            Keys.job(job.id()),
            JobRecord.encode(job.spec(), job.acceptedWallMicros(), false, job.done()));
    return queue.add(
        nowMicros,
        new Write(
            conditions,
            List.of(put),
            true,
            (now, outcome, revision) -> {
              job.writing(false);
              switch (outcome) {
                case WRITTEN -> {
                  job.stamp(revision);
                  job.become(JobPhase.LIVE);
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
    if (job.writing()) {
      return;
    }
    switch (job.phase()) {
      case HALTING -> {
        if (job.complete()) {
          finish(job, nowMicros);
        } else if (gate.goneInTime(job, nowMicros)) {
          job.become(JobPhase.WITHDRAWING);
          job.withdrawnAt(nowMicros);
          write(job, true, true, nowMicros);
        }
      }
      case WITHDRAWING -> write(job, true, true, nowMicros);
      case WITHDRAWN -> {
        if (job.bound().isEmpty() && (job.ofThisTerm() || mayFinishWithdrawn)) {
          finish(job, nowMicros);
        }
      }
      case LIVE -> {
        if (job.complete()) {
          finish(job, nowMicros);
        } else if (nowMicros - job.progressAt() >= PROGRESS_INTERVAL_MICROS
            && !job.done().equals(job.durable())
            && queue.waiting() < MAX_WAITING_FOR_PROGRESS) {
          write(job, false, false, nowMicros);
        }
      }
      case ACCEPTING, FINISHING, OVER -> {
        // nothing to write
      }
    }
  }

  private void write(Job job, boolean withdrawn, boolean urgent, long nowMicros) {
    BitSet snapshot = (BitSet) job.done().clone();
    Change put =
        new Change(
            Keys.job(job.id()),
            JobRecord.encode(job.spec(), job.acceptedWallMicros(), withdrawn, snapshot));
    job.writing(true);
    job.progressAt(nowMicros);
    Write write =
        new Write(
            List.of(new Condition(Keys.job(job.id()), job.stamp())),
            List.of(put),
            urgent,
            (now, outcome, revision) -> {
              decided(job);
              switch (outcome) {
                case WRITTEN -> {
                  job.stamp(revision);
                  job.durable(JobRecord.kept(snapshot));
                  if (withdrawn) {
                    job.become(JobPhase.WITHDRAWN);
                    listener.onWithdrawn(job, now);
                  }
                  pump(job, now);
                }
                case CONFLICT -> listener.onBroken(job.id() + " changed by somebody", now);
                case UNKNOWN -> {
                  // the term is over
                }
              }
            });
    if (withdrawn) {
      ends.put(job.id(), write);
    }
    if (!queue.add(nowMicros, write)) {
      decided(job);
    }
  }

  /** The write of the job's record has an outcome, or was not taken. */
  private void decided(Job job) {
    job.writing(false);
    ends.remove(job.id());
  }

  private void finish(Job job, long nowMicros) {
    boolean withdrawn = job.phase() == JobPhase.WITHDRAWN;
    JobState jobState = withdrawn ? JobState.WITHDRAWN : JobState.DONE;
    List<Change> changes = new ArrayList<>();
    FinalState finalState = new FinalState(jobState, job.doneCount());
    changes.add(new Change(Keys.over(job.id()), finalState.encode()));
    changes.add(new Change(Keys.job(job.id()), null));
    Write write =
        new Write(
            List.of(
                new Condition(Keys.job(job.id()), job.stamp()),
                new Condition(Keys.over(job.id()), 0)),
            changes,
            !withdrawn,
            (now, outcome, revision) -> {
              decided(job);
              switch (outcome) {
                case WRITTEN -> {
                  job.become(JobPhase.OVER);
                  listener.onOver(job, now);
                }
                case CONFLICT -> listener.onBroken(job.id() + " changed by somebody", now);
                case UNKNOWN -> {
                  // the term is over
                }
              }
            });
    job.writing(true);
    job.become(JobPhase.FINISHING);
    ends.put(job.id(), write);
    if (!queue.add(nowMicros, write)) {
      listener.onBroken("write queue full", nowMicros);
    }
  }
}
