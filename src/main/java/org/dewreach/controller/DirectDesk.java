package org.dewreach.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.BitSet;
import java.util.List;
import org.dewreach.config.Settings;
import org.dewreach.job.Admission;
import org.dewreach.job.JobRecord;
import org.dewreach.store.Change;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.Condition;
import org.dewreach.store.Keys;
import org.dewreach.store.StateService;
import org.dewreach.wire.JobRequest;
import org.dewreach.wire.MalformedException;
import org.dewreach.wire.Standing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers users straight from the state service, for when no leader can be asked.
 *
 * <p>Reading is always safe. Writing is conditional on the leader key being absent, so a leader
 * that loads after it got the key misses nothing.
 */
final class DirectDesk {
  private static final Logger LOG = LoggerFactory.getLogger(DirectDesk.class);
  private static final long TIMEOUT = 1_500_000;

  private final StateService state;
  private final CatalogKeeper catalog;
  private final Settings settings;
  private final String boot;
  private final long wallOffset;
  private long lastWrite;
  private long now;

  DirectDesk(
      StateService state,
      CatalogKeeper catalog,
      Settings settings,
      String boot,
      long wallOffset) {
    this.state = state;
    this.catalog = catalog;
    this.settings = settings;
    this.boot = boot;
    this.wallOffset = wallOffset;
  }

  /** Answers a query by reading; anything else only if the leader key was seen absent. */
  void handle(UserRequest request, Answer answer, boolean leaderAbsent) {
    if (request instanceof UserRequest.Query query) {
      read(query.jobId(), answer, found -> found.send(answer, true), () -> answer.send(404, null, 0));
    } else if (!leaderAbsent) {
      answer.later();
    } else if (request instanceof UserRequest.Submit submit) {
      submit(submit, answer);
    } else if (request instanceof UserRequest.Withdraw withdraw) {
      read(
          withdraw.jobId(),
          answer,
          found -> withdraw(found, answer),
          () -> answer.send(404, null, 0));
    }
  }

  /** A job as found in the state service: its live record or its final one. */
  private record Found(String id, JobRecord live, long stamp, Standing standing, int done) {
    void send(Answer answer, boolean counts) {
      answer.send(200, counts ? standing.answer(id, done, 0) : standing.answer(id), 0);
    }
  }

  private interface Then {
    void on(Found found);
  }

  private void read(String id, Answer answer, Then then, Runnable absent) {
    // The live record first: a job moves from there to the final one in one transaction.
    state.get(
        Keys.job(id),
        (now, status, body) -> {
          if (status == 404) {
            readOver(id, answer, then, absent);
          } else if (status != 200) {
            answer.later();
          } else {
            decode(id, body, answer, then);
          }
        });
  }

  private void decode(String id, JsonNode body, Answer answer, Then then) {
    try {
      JobRecord job = JobRecord.decode(body.path("data"));
      int done = job.done().cardinality();
      Standing standing =
          job.withdrawn()
              ? Standing.WITHDRAWN
              : done > 0 ? Standing.RUNNING : Standing.PENDING;
      then.on(new Found(id, job, body.path("stamp").asLong(), standing, done));
    } catch (MalformedException e) {
      LOG.error("record of {} not understood: {}", id, e.getMessage());
      answer.later();
    }
  }

  private void readOver(String id, Answer answer, Then then, Runnable absent) {
    state.get(
        Keys.over(id),
        (now, status, body) -> {
          if (status == 404) {
            absent.run();
          } else if (status != 200) {
            answer.later();
          } else {
            try {
              JsonNode data = body.path("data");
              Standing standing = Standing.of(data.path("standing").asText());
              then.on(new Found(id, null, 0, standing, data.path("done").asInt()));
            } catch (MalformedException e) {
              LOG.error("final record of {} not understood", id);
              answer.later();
            }
          }
        });
  }

  private void submit(UserRequest.Submit submit, Answer answer) {
    read(
        submit.jobId(),
        answer,
        found -> found.send(answer, false),
        () -> {
          JobRequest spec;
          try {
            spec = JobRequest.parse(submit.body());
          } catch (MalformedException e) {
            answer.send(400, null, 0);
            return;
          }
          if (!catalog.known()) {
            answer.later();
            return;
          }
          if (Admission.refusal(spec, settings.teams(), catalog.types()) != null) {
            answer.send(422, null, 0);
            return;
          }
          create(spec, answer);
        });
  }

  private void create(JobRequest spec, Answer answer) {
    String id = spec.id();
    // The time of acceptance is only used for ordering; a node's wall clock is good enough.
    var data = JobRecord.encode(spec, wallMicros(), false, new BitSet());
    data.put(CommitQueue.MARK, mark());
    state.commit(
        List.of(
            new Condition(Keys.LEADER, 0),
            new Condition(Keys.job(id), 0),
            new Condition(Keys.over(id), 0)),
        List.of(new Change(Keys.job(id), data)),
        0,
        TIMEOUT,
        (now, status, body) -> {
          if (status == 200) {
            answer.send(201, Standing.PENDING.answer(id), 0);
          } else {
            // Unclear or refused: the user's next try finds out.
            answer.later();
          }
        });
  }

  private void withdraw(Found found, Answer answer) {
    if (found.live() == null || found.live().withdrawn()) {
      found.send(answer, false);
      return;
    }
    JobRecord live = found.live();
    var data = JobRecord.encode(live.spec(), live.acceptedWallMicros(), true, live.done());
    data.put(CommitQueue.MARK, mark());
    state.commit(
        List.of(
            new Condition(Keys.LEADER, 0), new Condition(Keys.job(found.id()), found.stamp())),
        List.of(new Change(Keys.job(found.id()), data)),
        0,
        TIMEOUT,
        (now, status, body) -> {
          if (status == 200) {
            answer.send(200, Standing.WITHDRAWN.answer(found.id()), 0);
          } else {
            answer.later();
          }
        });
  }

  void now(long nowMicros) {
    now = nowMicros;
  }

  private long wallMicros() {
    return now + wallOffset;
  }

  private String mark() {
    return boot + "." + ++lastWrite;
  }
}
