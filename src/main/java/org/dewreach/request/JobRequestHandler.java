package org.dewreach.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStates;
import org.dewreach.model.Admission;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.state.LeaderlessJobImporter;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValueStore;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.JobState;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's answers to users. Nothing is told that is not durable. */
public final class JobRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(JobRequestHandler.class);

  /** Users wait 5 s; stops that are heard at all take less than this. A default of this project. */
  private static final long HALT_MICROS = 1_500_000;

  private final ClusterState clusterState;
  private final JobRecordWriter recordWriter;
  private final JobLookup lookup;
  private final FinalStates finalStates;
  private final MachineTypeCatalog catalog;
  private final Settings settings;
  private final long wallOffsetMicros;
  private final Map<String, List<Responder>> awaitingAcceptance = new HashMap<>();
  private final Map<String, List<Responder>> awaitingCancellation = new HashMap<>();
  private final PendingQueries awaitedEnds;

  public JobRequestHandler(
      ClusterState clusterState,
      JobRecordWriter recordWriter,
      LeaderlessJobImporter jobImporter,
      KeyValueStore state,
      FinalStates finalStates,
      MachineTypeCatalog catalog,
      Settings settings,
      long wallOffsetMicros) {
    this.clusterState = clusterState;
    this.recordWriter = recordWriter;
    this.lookup = new JobLookup(clusterState, jobImporter, state, finalStates, settings);
    this.finalStates = finalStates;
    this.awaitedEnds = new PendingQueries(recordWriter);
    this.catalog = catalog;
    this.settings = settings;
    this.wallOffsetMicros = wallOffsetMicros;
  }

  public void handle(UserRequest request, Responder answer, long nowMicros) {
    if (request instanceof UserRequest.Submit submit) {
      submit(submit, answer, nowMicros);
    } else if (request instanceof UserRequest.Query query) {
      query(query.jobId(), answer, nowMicros);
    } else if (request instanceof UserRequest.Cancel cancel) {
      cancel(cancel.jobId(), answer, nowMicros);
    }
  }

  private void submit(UserRequest.Submit submit, Responder answer, long nowMicros) {
    String id = submit.jobId();
    Job known = clusterState.jobs().get(id);
    if (known != null) {
      submitKnown(submit, known, answer, nowMicros);
      return;
    }
    JobSpec spec;
    try {
      spec = JobSpec.parse(submit.body());
    } catch (MalformedException e) {
      unlessKnown(id, answer, 400, e.getMessage(), nowMicros);
      return;
    }
    if (!catalog.known()) {
      answer.later(RetryReason.NO_CATALOG);
      return;
    }
    if (recordWriter.stalled(nowMicros)) {
      answer.later(RetryReason.WRITES_STALLED);
      return;
    }
    String refusal = Admission.refusal(spec, settings.teams(), catalog.types());
    if (refusal != null) {
      unlessKnown(id, answer, 422, refusal, nowMicros);
      return;
    }
    Job job = new Job(spec, nowMicros + wallOffsetMicros, true, JobPhase.PERSISTING);
    clusterState.jobs().put(id, job);
    await(awaitingAcceptance, id, answer);
    if (!recordWriter.writeNewJob(job, nowMicros, () -> knownAlready(job, nowMicros))) {
      clusterState.jobs().remove(id);
      sendBack(awaitingAcceptance, id, RetryReason.WRITE_QUEUE_FULL);
    }
  }

  /** A repeat of a job that the cluster state has. */
  private void submitKnown(UserRequest.Submit submit, Job known, Responder answer, long nowMicros) {
    String id = known.id();
    if (known.phase() == JobPhase.PERSISTING) {
      await(awaitingAcceptance, id, answer);
    } else if (isEnding(known)) {
      awaitedEnds.await(
          known,
          answer,
          () -> sendState(known, answer),
          () -> submit(submit, answer, nowMicros),
          nowMicros);
    } else {
      sendState(known, answer);
    }
  }

  private static void sendState(Job job, Responder answer) {
    answer.send(200, job.jobState().answer(job.id()), 0);
  }

  /**
   * A record exists although the cluster state lacks it: the job is over, or was accepted without
   * us.
   */
  private void knownAlready(Job job, long nowMicros) {
    clusterState.jobs().remove(job.id());
    List<Responder> answers = awaitingAcceptance.remove(job.id());
    if (answers != null) {
      lookup.find(
          job.id(),
          found -> {
            for (Responder answer : answers) {
              if (found == null) {
                answer.later(RetryReason.BEING_ACCEPTED);
              } else {
                answer.send(200, found.jobState().answer(job.id()), 0);
              }
            }
          },
          reason -> answers.forEach(answer -> answer.later(reason)),
          nowMicros);
    }
  }

  /** A repeat of a job that is known is answered with its state, whatever it would be now. */
  private void unlessKnown(String id, Responder answer, int status, String why, long nowMicros) {
    lookup.find(
        id,
        found -> {
          if (found == null && clusterState.jobs().containsKey(id)) {
            // Accepted while we looked.
            answer.later(RetryReason.BEING_ACCEPTED);
          } else if (found == null) {
            LOG.info("submission of {} answered {}: {}", id, status, why);
            answer.send(status, Codec.map().put("error", why), 0);
          } else {
            answer.send(200, found.jobState().answer(id), 0);
          }
        },
        answer::later,
        nowMicros);
  }

  private static void await(Map<String, List<Responder>> waiting, String id, Responder answer) {
    waiting.computeIfAbsent(id, key -> new ArrayList<>(1)).add(answer);
  }

  /** True while a write that ends the job has no outcome: {@link PendingQueries} answers then. */
  private static boolean isEnding(Job job) {
    return job.phase() == JobPhase.CANCEL_COMMITTING
        || job.phase() == JobPhase.FINALIZING && job.finalState() == JobState.DONE;
  }

  private void query(String id, Responder answer, long nowMicros) {
    Job job = clusterState.jobs().get(id);
    if (job != null) {
      if (job.phase() == JobPhase.PERSISTING) {
        answer.later(RetryReason.BEING_ACCEPTED);
      } else if (isEnding(job)) {
        awaitedEnds.await(
            job,
            answer,
            () -> sendStateAndCounts(job, answer),
            () -> query(id, answer, nowMicros),
            nowMicros);
      } else {
        sendStateAndCounts(job, answer);
      }
      return;
    }
    lookup.find(
        id,
        found -> {
          if (found != null) {
            answer.send(200, found.jobState().answer(id, found.done(), 0), 0);
          } else if (clusterState.jobs().containsKey(id)) {
            // Accepted while we looked.
            answer.later(RetryReason.BEING_ACCEPTED);
          } else {
            answer.send(404, null, 0);
          }
        },
        answer::later,
        nowMicros);
  }

  private static void sendStateAndCounts(Job job, Responder answer) {
    answer.send(200, job.jobState().answer(job.id(), job.doneCount(), job.running()), 0);
  }

  private void cancel(String id, Responder answer, long nowMicros) {
    Job job = clusterState.jobs().get(id);
    if (job == null) {
      cancelUnknown(id, answer, nowMicros);
      return;
    }
    switch (job.phase()) {
      case PERSISTING -> answer.later(RetryReason.BEING_ACCEPTED);
      case CANCELLED -> answer.send(200, JobState.CANCELLED.answer(id), 0);
      case FINALIZING, ENDED -> {
        if (job.finalState() == JobState.CANCELLED) {
          answer.send(200, JobState.CANCELLED.answer(id), 0);
        } else {
          await(awaitingCancellation, id, answer);
        }
      }
      case CANCEL_REQUESTED -> {
        if (stopsLong(job, nowMicros)) {
          answer.later(RetryReason.TASKS_NOT_GONE);
        } else {
          await(awaitingCancellation, id, answer);
        }
      }
      case CANCEL_COMMITTING -> await(awaitingCancellation, id, answer);
      case ACTIVE -> {
        await(awaitingCancellation, id, answer);
        halt(job, nowMicros);
      }
    }
  }

  /** A job that the cluster state does not have: over, accepted without us, or none. */
  private void cancelUnknown(String id, Responder answer, long nowMicros) {
    lookup.find(
        id,
        found -> {
          boolean over = found != null && found.jobState() != JobState.PENDING;
          if (over) {
            answer.send(200, found.jobState().answer(id), 0);
          } else if (found != null || clusterState.jobs().containsKey(id)) {
            // Accepted while we looked, or without us and just taken over.
            answer.later(RetryReason.BEING_ACCEPTED);
          } else {
            answer.send(404, null, 0);
          }
        },
        answer::later,
        nowMicros);
  }

  private void halt(Job job, long nowMicros) {
    job.become(JobPhase.CANCEL_REQUESTED);
    job.cancelRequestedAt(nowMicros);
    // At once, not with the next reports, and also while nothing can be written: its user is
    // told when they are gone.
    List.copyOf(job.bound().values())
        .forEach(task -> clusterState.stop(task, "to be withdrawn", nowMicros));
    clusterState.requestPlacement();
    recordWriter.writeIfDue(job, nowMicros);
  }

  /**
   * Guards against answers held back while writes do not get through: users are told at once to
   * come back, whatever they wait for.
   */
  public void tick(long nowMicros) {
    if (recordWriter.stalled(nowMicros)) {
      sendBackAll(awaitingAcceptance, RetryReason.WRITES_STALLED);
      sendBackAll(awaitingCancellation, RetryReason.WRITES_STALLED);
    }
    awaitedEnds.tick(nowMicros);
  }

  private static boolean stopsLong(Job job, long nowMicros) {
    return nowMicros - job.cancelRequestedAt() > HALT_MICROS;
  }

  /** Its tasks cannot be stopped just now: its user is to ask again. */
  public void onCancelRequested(Job job, long nowMicros) {
    if (stopsLong(job, nowMicros)) {
      sendBack(awaitingCancellation, job.id(), RetryReason.TASKS_NOT_GONE);
    }
  }

  public void onAccepted(Job job) {
    // One that was accepted without us may have been cancelled without us too.
    answerAll(awaitingAcceptance, job.id(), 201, job.jobState());
  }

  /**
   * Guards against answers that wait for ever: a job is taken over from a record that may be gone
   * already, and then nothing more comes of that.
   */
  public void onNotTakenOver(String id) {
    sendBack(awaitingAcceptance, id, RetryReason.BEING_ACCEPTED);
  }

  public void onCancelled(Job job) {
    answerAll(awaitingCancellation, job.id(), 200, JobState.CANCELLED);
    awaitedEnds.onEnd(job.id());
  }

  public void onEnded(Job job) {
    finalStates.addEnded(job.id(), new FinalState(job.finalState(), job.doneCount()));
    answerAll(awaitingCancellation, job.id(), 200, job.finalState());
    awaitedEnds.onEnd(job.id());
  }

  private static void answerAll(
      Map<String, List<Responder>> waiting, String id, int status, JobState jobState) {
    List<Responder> answers = waiting.remove(id);
    if (answers != null) {
      answers.forEach(answer -> answer.send(status, jobState.answer(id), 0));
    }
  }

  /** The term is over: users are told to come back. */
  public void close() {
    sendBackAll(awaitingAcceptance, RetryReason.NO_AUTHORITY);
    sendBackAll(awaitingCancellation, RetryReason.NO_AUTHORITY);
    awaitedEnds.close();
  }

  private static void sendBackAll(Map<String, List<Responder>> waiting, RetryReason reason) {
    List.copyOf(waiting.keySet()).forEach(id -> sendBack(waiting, id, reason));
  }

  private static void sendBack(
      Map<String, List<Responder>> waiting, String id, RetryReason reason) {
    List<Responder> answers = waiting.remove(id);
    if (answers != null) {
      answers.forEach(answer -> answer.later(reason));
    }
  }
}
