package org.dewreach.request;

import java.util.List;
import java.util.Optional;
import org.dewreach.config.Settings;
import org.dewreach.model.Admission;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.JobStatus;
import org.dewreach.wire.MalformedException;
import org.dewreach.wire.UserResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles submissions on the leader. */
final class SubmissionHandler {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);

  private final ClusterState clusterState;
  private final JobRecordWriter recordWriter;
  private final JobLookup lookup;
  private final JobStatusHandler statusHandler;
  private final MachineTypeCatalog catalog;
  private final Settings settings;
  private final long wallOffsetMicros;
  private final WaitingResponders awaitingAcceptance = new WaitingResponders();

  SubmissionHandler(
      ClusterState clusterState,
      JobRecordWriter recordWriter,
      JobLookup lookup,
      JobStatusHandler statusHandler,
      MachineTypeCatalog catalog,
      Settings settings,
      long wallOffsetMicros) {
    this.clusterState = clusterState;
    this.recordWriter = recordWriter;
    this.lookup = lookup;
    this.statusHandler = statusHandler;
    this.catalog = catalog;
    this.settings = settings;
    this.wallOffsetMicros = wallOffsetMicros;
  }

  void handle(UserRequest.Submit submit, Responder responder, long nowMicros) {
    String jobId = submit.jobId();
    Job known = clusterState.jobs().get(jobId);
    if (known != null) {
      handleRepeat(submit, known, responder, nowMicros);
      return;
    }
    JobSpec spec;
    try {
      spec = submit.submission().parseSpec();
    } catch (MalformedException e) {
      rejectUnlessKnown(jobId, responder, HttpStatus.BAD_REQUEST, e.getMessage(), nowMicros);
      return;
    }
    if (!catalog.known()) {
      responder.respondRetry(RetryReason.NO_CATALOG);
      return;
    }
    if (recordWriter.stalled(nowMicros)) {
      // It may be the repetition of a submission that another controller accepted.
      lookup.findAtPeers(
          jobId,
          found -> respondFound(jobId, found, responder),
          () -> responder.respondRetry(RetryReason.WRITES_STALLED));
      return;
    }
    String rejectionReason = Admission.rejectionReason(spec, settings.teams(), catalog.types());
    if (rejectionReason != null) {
      rejectUnlessKnown(jobId, responder, HttpStatus.UNPROCESSABLE, rejectionReason, nowMicros);
      return;
    }
    accept(spec, responder, nowMicros);
  }

  private void accept(JobSpec spec, Responder responder, long nowMicros) {
    String jobId = spec.id();
    Job job = new Job(spec, nowMicros + wallOffsetMicros, true, JobPhase.PERSISTING);
    clusterState.addJob(job);
    awaitingAcceptance.add(jobId, responder);
    boolean queued =
        recordWriter.writeNewJob(
            job,
            nowMicros,
            new JobRecordWriter.FirstRecordFailure(
                now -> onRecordExists(job, now),
                now -> abandon(job, RetryReason.WRITE_NOT_CONFIRMED)));
    if (!queued) {
      abandon(job, RetryReason.WRITE_QUEUE_FULL);
    }
  }

  /** Abandons a submission whose record was not written. */
  private void abandon(Job job, RetryReason reason) {
    clusterState.removeJob(job);
    awaitingAcceptance.respondRetry(job.id(), reason);
  }

  /** Handles a repeated submission of a job that the cluster state contains. */
  private void handleRepeat(
      UserRequest.Submit submit, Job known, Responder responder, long nowMicros) {
    if (known.phase() == JobPhase.PERSISTING && !recordWriter.stalled(nowMicros)) {
      awaitingAcceptance.add(known.id(), responder);
    } else {
      Runnable handleAgain = () -> handle(submit, responder, nowMicros);
      StatusRequest request = new StatusRequest(known.id(), false, responder, handleAgain);
      statusHandler.handle(known, request, nowMicros);
    }
  }

  /**
   * Called when the job already has a record although the cluster state did not contain it: the job
   * has ended, or was accepted without this leader.
   */
  private void onRecordExists(Job job, long nowMicros) {
    clusterState.removeJob(job);
    List<Responder> responders = awaitingAcceptance.remove(job.id());
    if (responders.isEmpty()) {
      return;
    }
    lookup.find(
        job.id(),
        found -> responders.forEach(responder -> respondFound(job.id(), found, responder)),
        reason -> responders.forEach(responder -> responder.respondRetry(reason)),
        nowMicros);
  }

  private static void respondFound(
      String jobId, Optional<JobLookup.FoundJob> found, Responder responder) {
    if (found.isPresent()) {
      JobStatus jobStatus = JobStatus.withoutCounts(jobId, found.get().jobState());
      responder.respond(UserResponse.ok(jobStatus));
    } else {
      responder.respondRetry(RetryReason.BEING_ACCEPTED);
    }
  }

  /**
   * Rejects a submission. A repeated submission of a known job gets the job's state as its
   * response, even if it would be rejected now.
   */
  private void rejectUnlessKnown(
      String jobId, Responder responder, int status, String error, long nowMicros) {
    lookup.find(
        jobId,
        found -> {
          // A job that the cluster state contains now was accepted during the lookup.
          if (found.isPresent() || clusterState.jobs().containsKey(jobId)) {
            respondFound(jobId, found, responder);
          } else {
            LOG.info("submission rejected: job={} status={} cause=\"{}\"", jobId, status, error);
            responder.respond(UserResponse.rejected(status, error));
          }
        },
        responder::respondRetry,
        nowMicros);
  }

  /**
   * Sends a retry response to all waiting users without further delay. Guards against responses
   * that are held back while writes to the key-value store are stalled.
   */
  void onWritesStalled() {
    awaitingAcceptance.respondRetryToAll(RetryReason.WRITES_STALLED);
  }

  void onAccepted(Job job) {
    // A job that was accepted without this leader may have been cancelled without it too.
    JobStatus jobStatus = JobStatus.withoutCounts(job.id(), job.jobState());
    awaitingAcceptance.respond(job.id(), UserResponse.created(jobStatus));
  }

  void onImportFailed(String jobId) {
    awaitingAcceptance.respondRetry(jobId, RetryReason.BEING_ACCEPTED);
  }

  /** Ends the term: sends a retry response to all waiting users. */
  void close() {
    awaitingAcceptance.respondRetryToAll(RetryReason.NO_AUTHORITY);
  }
}
