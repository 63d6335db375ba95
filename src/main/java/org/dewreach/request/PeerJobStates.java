package org.dewreach.request;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.dewreach.config.Settings;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStates;
import org.dewreach.peer.JobKnowledge;
import org.dewreach.peer.JobKnowledgeRequest;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;

/**
 * Asks all other controllers what they know to be durable about a job.
 *
 * <p>A controller remembers what it told users without the leader. So if a question to it is sent
 * after a user's request came in, and it knows nothing newer than the leader, it had told nothing
 * newer by then, whether or not a write that is in doubt was applied.
 */
final class PeerJobStates {
  /** Users wait 2 s for a response, a forwarding controller 1.2 s, of which 1 s may have passed. */
  private static final long TIMEOUT_MICROS = 700_000;

  private final Outbox outbox;
  private final FinalStates finalStates;
  private final List<String> others;

  /**
   * Creates a client that asks the other members of the cluster.
   *
   * @param finalStates receives the final states that others know
   */
  PeerJobStates(Outbox outbox, FinalStates finalStates, Settings settings) {
    this.outbox = outbox;
    this.finalStates = finalStates;
    this.others = settings.members().stream().map(Settings.Member::name).toList();
  }

  /**
   * Asks the other controllers about a job.
   *
   * @param onResult called once: with the job's final state as soon as one controller knows it;
   *     otherwise, once all have replied, with what is known at most; empty if one did not reply
   */
  void ask(String jobId, Consumer<Optional<JobKnowledge>> onResult) {
    Inquiry inquiry = new Inquiry(others.size(), onResult);
    inquiry.finishIfComplete();
    for (String other : others) {
      outbox.call(
          new Target.Member(other),
          "POST",
          PeerMessageCodec.JOB_PATH,
          PeerMessageCodec.encode(new JobKnowledgeRequest(jobId)),
          TIMEOUT_MICROS,
          (now, status, body) ->
              inquiry.onReply(PeerMessageCodec.decodeJobKnowledge(status, body)));
    }
  }

  /** Returns and remembers the job's final state if another controller knows it. */
  Optional<FinalState> finalState(String jobId, JobKnowledge known) {
    if (!(known instanceof JobKnowledge.Ended ended)) {
      return Optional.empty();
    }
    FinalState finalState = new FinalState(ended.jobState(), ended.done());
    finalStates.addLookedUp(jobId, finalState);
    return Optional.of(finalState);
  }

  /** The replies about one job. */
  private static final class Inquiry {
    private final Consumer<Optional<JobKnowledge>> onResult;
    private int missingReplies;
    private boolean failed;
    private boolean finished;
    private JobKnowledge known = new JobKnowledge.Nothing();

    Inquiry(int controllers, Consumer<Optional<JobKnowledge>> onResult) {
      this.missingReplies = controllers;
      this.onResult = onResult;
    }

    void onReply(Optional<JobKnowledge> reply) {
      missingReplies--;
      failed |= reply.isEmpty();
      reply.ifPresent(this::merge);
      finishIfComplete();
    }

    private void merge(JobKnowledge reply) {
      if (reply instanceof JobKnowledge.Ended) {
        known = reply;
      } else if (reply instanceof JobKnowledge.Accepted accepted && isNewer(accepted)) {
        known = accepted;
      }
    }

    private boolean isNewer(JobKnowledge.Accepted accepted) {
      return known instanceof JobKnowledge.Nothing
          || known instanceof JobKnowledge.Accepted other && accepted.revision() > other.revision();
    }

    void finishIfComplete() {
      boolean ended = known instanceof JobKnowledge.Ended;
      if (finished || missingReplies > 0 && !ended) {
        return;
      }
      finished = true;
      onResult.accept(failed && !ended ? Optional.empty() : Optional.of(known));
    }
  }
}
