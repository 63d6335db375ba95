package org.dewreach.request;

import java.util.BitSet;
import java.util.List;
import org.dewreach.config.Settings;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStateRecord;
import org.dewreach.history.FinalStates;
import org.dewreach.model.Admission;
import org.dewreach.state.JobRecord;
import org.dewreach.state.LeaderlessJobRecord;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.Mutation;
import org.dewreach.store.Precondition;
import org.dewreach.store.ReadResult;
import org.dewreach.store.TokenBucket;
import org.dewreach.store.TransactionResult;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.JobState;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers users straight from the state service, for when no leader can be asked.
 *
 * <p>Reading is always safe. A new job is written under a key of its own, from which only a leader
 * takes it over, in one transaction; so it needs no leader to be accepted or cancelled, and nobody
 * starts it before. Other jobs are changed by leaders alone.
 */
public final class LeaderlessRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderlessRequestHandler.class);
  private static final long TIMEOUT_MICROS = 1_500_000;

  /**
   * Share of the state service's rates that one node without a leader takes. A default of this
   * project.
   */
  private static final double STATE_RATE_SHARE = 0.25;

  private final KeyValueStore state;
  private final FinalStates finalStates;
  private final MachineTypeCatalog catalog;
  private final Settings settings;
  private final String boot;
  private final long wallOffsetMicros;
  private final TokenBucket reads;
  private final TokenBucket writes;
  private long lastWrite;
  private long now;

  public LeaderlessRequestHandler(
      KeyValueStore state,
      FinalStates finalStates,
      MachineTypeCatalog catalog,
      Settings settings,
      String boot,
      long wallOffsetMicros) {
    this.state = state;
    this.finalStates = finalStates;
    this.catalog = catalog;
    this.settings = settings;
    this.boot = boot;
    this.wallOffsetMicros = wallOffsetMicros;
    double rps = settings.stateLimits().rps() * STATE_RATE_SHARE;
    double writeRps = settings.stateLimits().writeRps() * STATE_RATE_SHARE;
    this.reads = new TokenBucket(rps, rps);
    this.writes = new TokenBucket(writeRps, writeRps);
  }

  /** Answers queries by reading, and writes what no leader has taken over yet. */
  public void handle(UserRequest request, Responder answer) {
    // Renewals of the lead come first: polls in a bad moment must not use up the rate.
    boolean writing = request instanceof UserRequest.Submit;
    boolean admitted = writing ? writes.tryAcquire(now) : reads.available(now) >= 1;
    if (!admitted) {
      answer.later(RetryReason.STATE_RATE);
      return;
    }
    if (request instanceof UserRequest.Query query) {
      read(
          query.jobId(),
          answer,
          found -> found.send(answer, true),
          () -> answer.send(404, null, 0));
    } else if (request instanceof UserRequest.Submit submit) {
      submit(submit, answer);
    } else if (request instanceof UserRequest.Cancel cancel) {
      read(cancel.jobId(), answer, found -> cancel(found, answer), () -> answer.send(404, null, 0));
    }
  }

  /** A job as found in the state service, under the key given: not over if it has a record. */
  private record Found(
      String key, String id, JobRecord live, long revision, JobState jobState, int done) {
    void send(Responder answer, boolean counts) {
      answer.send(200, counts ? jobState.answer(id, done, 0) : jobState.answer(id), 0);
    }
  }

  private interface Then {
    void on(Found found);
  }

  /**
   * Where a job may be. It moves from the new records to the live ones and from there to the final
   * ones, each in one transaction. Most are live, so those are looked at first, and again after the
   * new ones: a job that was somewhere at the start is then met, however it moves meanwhile.
   */
  private static List<String> keysToRead(String id) {
    return List.of(Keys.job(id), Keys.leaderlessJob(id), Keys.job(id), Keys.finalState(id));
  }

  /**
   * Looks for a job. All reads are paid for at the start, and what is not needed is given back.
   *
   * <p>Guards against the requests that reach a controller while it stands still: each was counted
   * as one read and took up to four, so all at once were more than the state service allows.
   */
  private void read(String id, Responder answer, Then then, Runnable absent) {
    List<String> keys = keysToRead(id);
    reads.consume(now, keys.size());
    readFirst(keys, id, answer, then, absent);
  }

  /** Reads the first of the keys, and the rest of them if it does not exist. */
  private void readFirst(
      List<String> keys, String id, Responder answer, Then then, Runnable absent) {
    if (keys.isEmpty()) {
      absent.run();
      return;
    }
    String key = keys.get(0);
    List<String> rest = keys.subList(1, keys.size());
    state.get(
        key,
        (now, result) -> {
          if (result instanceof ReadResult.Absent) {
            readFirst(rest, id, answer, then, absent);
            return;
          }
          reads.refund(rest.size());
          if (result instanceof KeyValue entry) {
            decode(id, entry, answer, then);
          } else {
            answer.later(RetryReason.READ_FAILED);
          }
        });
  }

  private void decode(String id, KeyValue entry, Responder answer, Then then) {
    try {
      boolean isFinal = entry.key().equals(Keys.finalState(id));
      then.on(isFinal ? foundFinal(id, entry) : foundLive(id, entry));
    } catch (MalformedException e) {
      LOG.error("{} not understood: {}", entry.key(), e.getMessage());
      answer.later(RetryReason.RECORD_MALFORMED);
    }
  }

  private Found foundFinal(String id, KeyValue entry) throws MalformedException {
    FinalState found = FinalStateRecord.decode(entry.value());
    finalStates.read(id, found);
    return new Found(entry.key(), id, null, 0, found.jobState(), found.done());
  }

  private static Found foundLive(String id, KeyValue entry) throws MalformedException {
    JobRecord job = JobRecord.decode(entry.value());
    int done = job.done().cardinality();
    JobState jobState = done > 0 ? JobState.RUNNING : JobState.PENDING;
    return new Found(
        entry.key(),
        id,
        job,
        entry.revision(),
        job.cancelled() ? JobState.CANCELLED : jobState,
        done);
  }

  private void submit(UserRequest.Submit submit, Responder answer) {
    JobSpec spec;
    try {
      spec = JobSpec.parse(submit.body());
    } catch (MalformedException e) {
      unlessKnown(submit.jobId(), answer, () -> answer.send(400, null, 0));
      return;
    }
    if (!catalog.known()) {
      unlessKnown(submit.jobId(), answer, () -> answer.later(RetryReason.NO_CATALOG));
    } else if (Admission.refusal(spec, settings.teams(), catalog.types()) != null) {
      unlessKnown(submit.jobId(), answer, () -> answer.send(422, null, 0));
    } else {
      create(spec, answer);
    }
  }

  /** A repeat of a job that is known is answered with its state, whatever it would be now. */
  private void unlessKnown(String id, Responder answer, Runnable otherwise) {
    read(id, answer, found -> found.send(answer, false), otherwise);
  }

  private void create(JobSpec spec, Responder answer) {
    String id = spec.id();
    // The time of acceptance is only used for ordering; a node's wall clock is good enough.
    var data = LeaderlessJobRecord.encode(spec, wallMicros(), false, new BitSet(), mark());
    state.commit(
        List.of(
            new Precondition(Keys.leaderlessJob(id), 0),
            new Precondition(Keys.job(id), 0),
            new Precondition(Keys.finalState(id), 0)),
        List.of(new Mutation(Keys.leaderlessJob(id), data)),
        0,
        TIMEOUT_MICROS,
        (now, result) -> {
          if (result instanceof TransactionResult.Committed) {
            answer.send(201, JobState.PENDING.answer(id), 0);
          } else if (result instanceof TransactionResult.PreconditionFailed) {
            unlessKnown(id, answer, () -> answer.later(RetryReason.BEING_ACCEPTED));
          } else {
            // Unclear or refused: the user's next try finds out.
            answer.later(RetryReason.WRITE_NOT_CONFIRMED);
          }
        });
  }

  private void cancel(Found found, Responder answer) {
    if (found.live() == null || found.live().cancelled()) {
      found.send(answer, false);
      return;
    }
    if (!found.key().equals(Keys.leaderlessJob(found.id()))) {
      // Its tasks may run: only a leader knows when they are sure to be gone in time.
      answer.later(RetryReason.NEEDS_LEADER);
      return;
    }
    JobRecord live = found.live();
    var data =
        LeaderlessJobRecord.encode(
            live.spec(), live.acceptedWallMicros(), true, live.done(), mark());
    state.commit(
        List.of(new Precondition(found.key(), found.revision())),
        List.of(new Mutation(found.key(), data)),
        0,
        TIMEOUT_MICROS,
        (now, result) -> {
          if (result instanceof TransactionResult.Committed) {
            answer.send(200, JobState.CANCELLED.answer(found.id()), 0);
          } else {
            answer.later(RetryReason.WRITE_NOT_CONFIRMED);
          }
        });
  }

  public void now(long nowMicros) {
    now = nowMicros;
  }

  private long wallMicros() {
    return now + wallOffsetMicros;
  }

  private String mark() {
    return boot + "." + ++lastWrite;
  }
}
