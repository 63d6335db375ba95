package org.dewreach.request;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.dewreach.config.Settings;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStates;
import org.dewreach.model.Job;
import org.dewreach.port.Outbox;
import org.dewreach.state.ClusterState;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.state.LeaderlessJobImporter;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValueStore;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.JobState;
import org.dewreach.wire.JobStatus;
import org.dewreach.wire.UserResponse;

/** Handles users' requests on the leader. Responses report durable state only. */
public final class JobRequestHandler {
  private final ClusterState clusterState;
  private final JobRecordWriter recordWriter;
  private final JobLookup lookup;
  private final FinalStates finalStates;
  private final JobStatusHandler statusHandler;
  private final SubmissionHandler submissions;
  private final CancellationHandler cancellations;

  /**
   * Creates a handler for one term.
   *
   * @param outbox sends requests to the other controllers
   * @param storeSuspected returns true while the key-value store does not respond to this leader
   * @param wallOffsetMicros wall-clock time minus event time
   */
  public JobRequestHandler(
      ClusterState clusterState,
      JobRecordWriter recordWriter,
      LeaderlessJobImporter jobImporter,
      KeyValueStore store,
      FinalStates finalStates,
      MachineTypeCatalog catalog,
      Outbox outbox,
      BooleanSupplier storeSuspected,
      Settings settings,
      long wallOffsetMicros) {
    PeerJobStates peers = new PeerJobStates(outbox, finalStates, settings);
    this.clusterState = clusterState;
    this.recordWriter = recordWriter;
    this.lookup =
        new JobLookup(
            clusterState, jobImporter, store, finalStates, peers, storeSuspected, settings);
    this.finalStates = finalStates;
    this.statusHandler = new JobStatusHandler(clusterState, recordWriter, peers);
    this.submissions =
        new SubmissionHandler(
            clusterState, recordWriter, lookup, statusHandler, catalog, settings, wallOffsetMicros);
    this.cancellations = new CancellationHandler(clusterState, recordWriter, lookup);
  }

  /** Handles a request; the response may be sent later. */
  public void handle(UserRequest request, Responder responder, long nowMicros) {
    if (request instanceof UserRequest.Submit submit) {
      submissions.handle(submit, responder, nowMicros);
    } else if (request instanceof UserRequest.Query query) {
      handleQuery(query.jobId(), responder, nowMicros);
    } else if (request instanceof UserRequest.Cancel cancel) {
      cancellations.handle(cancel.jobId(), responder, nowMicros);
    }
  }

  private void handleQuery(String jobId, Responder responder, long nowMicros) {
    Job job = clusterState.jobs().get(jobId);
    if (job == null) {
      lookup.find(
          jobId,
          found -> respondFound(jobId, found, responder),
          responder::respondRetry,
          nowMicros);
    } else {
      Runnable handleAgain = () -> handleQuery(jobId, responder, nowMicros);
      statusHandler.handle(job, new StatusRequest(jobId, true, responder, handleAgain), nowMicros);
    }
  }

  /** Responds with the result of a lookup of a job that the cluster state did not contain. */
  private void respondFound(String jobId, Optional<JobLookup.FoundJob> found, Responder responder) {
    if (found.isPresent()) {
      JobState jobState = found.get().jobState();
      JobStatus jobStatus = JobStatus.withCounts(jobId, jobState, found.get().done(), 0);
      responder.respond(UserResponse.ok(jobStatus));
    } else if (clusterState.jobs().containsKey(jobId)) {
      // The job was accepted during the lookup.
      responder.respondRetry(RetryReason.BEING_ACCEPTED);
    } else {
      responder.respond(UserResponse.empty(HttpStatus.NOT_FOUND));
    }
  }

  /** Responds to requests that have been pending for too long. */
  public void tick(long nowMicros) {
    if (recordWriter.stalled(nowMicros)) {
      submissions.onWritesStalled();
      cancellations.onWritesStalled();
    }
    statusHandler.tick(nowMicros);
  }

  /**
   * Called while a cancellation cannot be written yet because tasks of the job may still run or
   * start.
   */
  public void onStillStopping(Job job, long nowMicros) {
    cancellations.onStillStopping(job, nowMicros);
  }

  /** Called once the job's acceptance is durable. */
  public void onAccepted(Job job) {
    submissions.onAccepted(job);
  }

  /**
   * Called when a job that was accepted without a leader was not imported.
   *
   * <p>Guards against responses that are never sent: the record that a job is imported from may be
   * deleted already, and then no further event of that job occurs.
   */
  public void onImportFailed(String jobId) {
    submissions.onImportFailed(jobId);
  }

  /** Called once the job's cancellation is durable. */
  public void onCancelled(Job job) {
    cancellations.onFinalStateDurable(job, JobState.CANCELLED);
    statusHandler.onFinalStateDurable(job.id());
  }

  /** Called once the job's final state is durable. */
  public void onEnded(Job job) {
    finalStates.addEnded(job.id(), new FinalState(job.finalState(), job.doneCount()));
    cancellations.onFinalStateDurable(job, job.finalState());
    statusHandler.onFinalStateDurable(job.id());
  }

  /** Ends the term: sends a retry response to all waiting users. */
  public void close() {
    submissions.close();
    cancellations.close();
    statusHandler.close();
  }
}
