package org.dewreach.request;

import java.util.BitSet;
import java.util.List;
import java.util.function.LongSupplier;
import org.dewreach.config.Settings;
import org.dewreach.history.FinalStates;
import org.dewreach.model.Admission;
import org.dewreach.request.StoredJobReader.StoredJob;
import org.dewreach.state.JobRecord;
import org.dewreach.state.LeaderlessJobRecord;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.Mutation;
import org.dewreach.store.Precondition;
import org.dewreach.store.TokenBucket;
import org.dewreach.store.TransactionResult;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.JobState;
import org.dewreach.wire.JobStatus;
import org.dewreach.wire.MalformedException;
import org.dewreach.wire.UserResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves users' requests directly from the key-value store while no leader is reachable.
 *
 * <p>Reading is always safe. A new job is written under a separate key, from which only a leader
 * imports it, in one transaction; until then it can be accepted and cancelled without a leader, and
 * no controller starts it. Other jobs are changed by the leader only.
 */
public final class LeaderlessRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderlessRequestHandler.class);

  private static final long WRITE_TIMEOUT_MICROS = 1_500_000;

  /** Share of the key-value store's rate limits that one controller uses without a leader. */
  private static final double STORE_RATE_SHARE = 0.25;

  private final KeyValueStore store;
  private final FinalStates finalStates;
  private final MachineTypeCatalog catalog;
  private final Settings settings;
  private final String bootId;
  private final LongSupplier clock;
  private final long wallOffsetMicros;
  private final StoredJobReader reader;
  private final TokenBucket writeBudget;
  private long lastWriteNumber;

  /**
   * Creates a handler.
   *
   * @param bootId an id unique to this process; an earlier process of this controller has another
   *     one
   * @param clock returns event time
   * @param wallOffsetMicros wall-clock time minus event time
   */
  public LeaderlessRequestHandler(
      KeyValueStore store,
      FinalStates finalStates,
      MachineTypeCatalog catalog,
      Settings settings,
      String bootId,
      LongSupplier clock,
      long wallOffsetMicros) {
    this.store = store;
    this.finalStates = finalStates;
    this.catalog = catalog;
    this.settings = settings;
    this.bootId = bootId;
    this.clock = clock;
    this.wallOffsetMicros = wallOffsetMicros;
    double readRps = settings.storeLimits().requestsPerSecond() * STORE_RATE_SHARE;
    this.reader = new StoredJobReader(store, finalStates, readRps, clock);
    double writeRps = settings.storeLimits().writesPerSecond() * STORE_RATE_SHARE;
    this.writeBudget = new TokenBucket(writeRps, writeRps);
  }

  /**
   * Serves queries by reading, and submissions and cancellations by writing to records that no
   * leader has imported yet.
   */
  public void handle(UserRequest request, Responder responder) {
    // Renewals of the leader lease take precedence: a burst of users' requests must not use up the
    // store's rate limit.
    boolean writes = request instanceof UserRequest.Submit;
    boolean admitted = writes ? writeBudget.tryAcquire(clock.getAsLong()) : reader.hasReadBudget();
    if (!admitted) {
      responder.respondRetry(RetryReason.STATE_RATE);
      return;
    }
    if (request instanceof UserRequest.Query query) {
      reader.read(
          query.jobId(),
          job -> responder.respond(UserResponse.ok(job.statusWithCounts())),
          () -> respondNotFound(responder),
          responder::respondRetry);
    } else if (request instanceof UserRequest.Submit submit) {
      handleSubmission(submit, responder);
    } else if (request instanceof UserRequest.Cancel cancel) {
      reader.read(
          cancel.jobId(),
          job -> cancel(job, responder),
          () -> respondNotFound(responder),
          responder::respondRetry);
    }
  }

  private static void respondNotFound(Responder responder) {
    responder.respond(UserResponse.empty(HttpStatus.NOT_FOUND));
  }

  private void handleSubmission(UserRequest.Submit submit, Responder responder) {
    String jobId = submit.jobId();
    JobSpec spec;
    try {
      spec = submit.submission().parseSpec();
    } catch (MalformedException e) {
      rejectUnlessKnown(jobId, responder, HttpStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    if (!catalog.known()) {
      respondUnlessKnown(jobId, responder, () -> responder.respondRetry(RetryReason.NO_CATALOG));
      return;
    }
    String rejectionReason = Admission.rejectionReason(spec, settings.teams(), catalog.types());
    if (rejectionReason != null) {
      rejectUnlessKnown(jobId, responder, HttpStatus.UNPROCESSABLE, rejectionReason);
      return;
    }
    createJob(spec, responder);
  }

  private void rejectUnlessKnown(String jobId, Responder responder, int status, String error) {
    respondUnlessKnown(
        jobId,
        responder,
        () -> {
          LOG.info("submission rejected: job={} status={} cause=\"{}\"", jobId, status, error);
          responder.respond(UserResponse.empty(status));
        });
  }

  /**
   * Responds to a repeated submission of a known job with its state, even if it would be rejected
   * now; otherwise runs {@code ifUnknown}.
   */
  private void respondUnlessKnown(String jobId, Responder responder, Runnable ifUnknown) {
    reader.read(
        jobId,
        job -> responder.respond(UserResponse.ok(job.status())),
        ifUnknown,
        responder::respondRetry);
  }

  private void createJob(JobSpec spec, Responder responder) {
    String jobId = spec.id();
    // The acceptance time is used for ordering only, so the local wall clock is accurate enough.
    long acceptedWallMicros = clock.getAsLong() + wallOffsetMicros;
    Mutation put =
        new Mutation(
            Keys.leaderlessJob(jobId),
            LeaderlessJobRecord.encode(
                spec, acceptedWallMicros, false, new BitSet(), nextWriteId()));
    store.commit(
        List.of(
            new Precondition(Keys.leaderlessJob(jobId), 0),
            new Precondition(Keys.job(jobId), 0),
            new Precondition(Keys.finalState(jobId), 0)),
        List.of(put),
        0,
        WRITE_TIMEOUT_MICROS,
        (now, result) -> {
          if (result instanceof TransactionResult.Committed committed) {
            finalStates.accepted().add(jobId, committed.revision());
            responder.respond(
                UserResponse.created(JobStatus.withoutCounts(jobId, JobState.PENDING)));
          } else if (result instanceof TransactionResult.PreconditionFailed) {
            respondUnlessKnown(
                jobId, responder, () -> responder.respondRetry(RetryReason.BEING_ACCEPTED));
          } else {
            // The outcome is unknown or the write was refused; the user's next attempt reads the
            // outcome.
            responder.respondRetry(RetryReason.WRITE_NOT_CONFIRMED);
          }
        });
  }

  private void cancel(StoredJob job, Responder responder) {
    JobRecord live = job.liveRecord();
    if (live == null || live.cancelled()) {
      responder.respond(UserResponse.ok(job.status()));
      return;
    }
    if (!job.key().equals(Keys.leaderlessJob(job.jobId()))) {
      // Its tasks may be running, and only a leader can determine in time when they are certainly
      // gone.
      responder.respondRetry(RetryReason.NEEDS_LEADER);
      return;
    }
    Mutation put =
        new Mutation(
            job.key(),
            LeaderlessJobRecord.encode(
                live.spec(), live.acceptedWallMicros(), true, live.done(), nextWriteId()));
    store.commit(
        List.of(new Precondition(job.key(), job.revision())),
        List.of(put),
        0,
        WRITE_TIMEOUT_MICROS,
        (now, result) -> {
          if (result instanceof TransactionResult.Committed) {
            finalStates.addCancelled(job.jobId(), job.done());
            responder.respond(
                UserResponse.ok(JobStatus.withoutCounts(job.jobId(), JobState.CANCELLED)));
          } else {
            responder.respondRetry(RetryReason.WRITE_NOT_CONFIRMED);
          }
        });
  }

  private String nextWriteId() {
    return bootId + "." + ++lastWriteNumber;
  }
}
