package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.dewreach.wire.JobSpec;

/** Sends users' requests, retries them as a user would, and passes the responses to the checker. */
final class UserRequests {
  private static final int MAX_RETRIES = 30;
  private static final long RETRY_PAUSE_MICROS = Clock.SECOND;

  /** The time after which a user notices that no controller accepts a connection. */
  private static final long CONNECTION_FAILURE_MICROS = 1_500_000;

  private static final long TIMEOUT_MICROS = 5 * Clock.SECOND;
  private static final long QUERY_TIMEOUT_MICROS = 2 * Clock.SECOND;

  private final Simulation simulation;
  private final Clock clock;
  private final Checker checker;
  private final Random random;
  private final Set<String> abandonedCancellations = new LinkedHashSet<>();

  /** The controllers that users can reach. */
  List<String> reachableControllers = Simulation.CONTROLLERS;

  /**
   * Alters submissions before they are sent, but not what the checker records; no change by
   * default.
   */
  Consumer<JsonNode> alterSubmission = body -> {};

  UserRequests(Simulation simulation) {
    this.simulation = simulation;
    this.clock = simulation.clock;
    this.checker = simulation.checker;
    this.random = simulation.random;
  }

  /** Returns a random controller that users can reach. */
  String randomController() {
    return reachableControllers.get(random.nextInt(reachableControllers.size()));
  }

  /**
   * Returns the controller to which the user of the job sends requests: that of its connection if
   * there is a load balancer, or else a random one; null if no controller accepts a connection.
   */
  private String controllerFor(String id) {
    SimLoadBalancer balancer = simulation.loadBalancer;
    return balancer == null ? randomController() : balancer.controllerOf(id);
  }

  // Requests that are retried

  /** Submits a job, with retries at random controllers until a response accepts or rejects it. */
  void submitUntilAnswered(JobSpec spec) {
    submitUntilAnswered(spec.id(), spec.toNode());
  }

  /** Submits a job description that may be invalid, with the same retries. */
  void submitUntilAnswered(String id, ObjectNode described) {
    submit(id, described, 0);
  }

  private void submit(String id, ObjectNode described, int tries) {
    AtomicBoolean closed = new AtomicBoolean();
    Checker.KnownState known = checker.onRequestSent(id);
    ObjectNode sent = described.deepCopy();
    alterSubmission.accept(sent);
    send(
        controllerFor(id),
        "POST",
        "/work",
        sent,
        unlessClosed(
            closed,
            (status, body) -> {
              checker.onSubmitResponse(id, known, status, jobState(body));
              if (status >= 429 && tries < MAX_RETRIES) {
                clock.in(RETRY_PAUSE_MICROS, () -> submit(id, described, tries + 1));
              }
            }));
    clock.in(
        TIMEOUT_MICROS,
        () -> {
          if (tries < MAX_RETRIES && closed.compareAndSet(false, true)) {
            submit(id, described, tries + 1);
          }
        });
  }

  /** Cancels a job, with retries at random controllers until a response confirms it. */
  void cancelUntilConfirmed(String id) {
    cancel(id, 0);
  }

  private void cancel(String id, int tries) {
    checker.onCancelRequested(id);
    AtomicBoolean closed = new AtomicBoolean();
    Checker.KnownState known = checker.onRequestSent(id);
    send(
        controllerFor(id),
        "POST",
        cancelPath(id),
        null,
        unlessClosed(
            closed,
            (status, body) -> {
              checker.onCancelResponse(id, known, status, jobState(body));
              if (status != 200) {
                retryCancellation(id, tries, RETRY_PAUSE_MICROS);
              }
            }));
    clock.in(
        TIMEOUT_MICROS,
        () -> {
          if (closed.compareAndSet(false, true)) {
            retryCancellation(id, tries, 0);
          }
        });
  }

  private void retryCancellation(String id, int tries, long pauseMicros) {
    if (tries < MAX_RETRIES) {
      clock.in(pauseMicros, () -> cancel(id, tries + 1));
    } else {
      abandonedCancellations.add(id);
    }
  }

  /** Retries the cancellations that users abandoned after too many retries during the faults. */
  void resumeAbandonedCancellations() {
    List<String> again = List.copyOf(abandonedCancellations);
    abandonedCancellations.clear();
    again.forEach(this::cancelUntilConfirmed);
  }

  /**
   * Queries a job's state periodically.
   *
   * <p>The polls of a user may be answered by different controllers in any order, but each user
   * sends one at a time: a response counts only if it arrives before the next query.
   */
  void poll(String id) {
    clock.in(3_000_000 + random.nextInt(4_000_000), () -> pollNow(id));
  }

  private void pollNow(String id) {
    AtomicBoolean closed = new AtomicBoolean();
    Checker.KnownState known = checker.onRequestSent(id);
    send(
        controllerFor(id),
        "GET",
        "/work/" + id,
        null,
        unlessClosed(
            closed, (status, body) -> checker.onQueryResponse(id, known, status, jobState(body))));
    clock.in(
        QUERY_TIMEOUT_MICROS,
        () -> {
          if (closed.compareAndSet(false, true)) {
            checker.onQueryFailed(id);
          }
          poll(id);
        });
  }

  /** Accepts one response, and none after the user's timeout. */
  private static Reply unlessClosed(AtomicBoolean closed, Reply reply) {
    return (status, body) -> {
      if (closed.compareAndSet(false, true)) {
        reply.send(status, body);
      }
    };
  }

  // Requests that are sent once

  /** Queries a job once, at the given controller. */
  void queryOnce(String id, String controller) {
    Checker.KnownState known = checker.onRequestSent(id);
    send(
        controller,
        "GET",
        "/work/" + id,
        null,
        (status, body) -> checker.onQueryResponse(id, known, status, jobState(body)));
  }

  /** Submits a job once, to the given controller. */
  void submitOnce(String id, ObjectNode described, String controller) {
    Checker.KnownState known = checker.onRequestSent(id);
    send(
        controller,
        "POST",
        "/work",
        described.deepCopy(),
        (status, body) -> checker.onSubmitResponse(id, known, status, jobState(body)));
  }

  /** Cancels a job once, at the given controller; the job may be one that nobody submitted. */
  void cancelOnce(String id, String controller) {
    if (simulation.users.spec(id) != null) {
      checker.onCancelRequested(id);
    }
    Checker.KnownState known = checker.onRequestSent(id);
    send(
        controller,
        "POST",
        cancelPath(id),
        null,
        (status, body) -> checker.onCancelResponse(id, known, status, jobState(body)));
  }

  /** Queries a job that nobody submitted. */
  void queryUnknownJob() {
    String id = "req-none" + random.nextInt(100);
    queryOnce(id, randomController());
  }

  private void send(String controller, String method, String path, JsonNode body, Reply reply) {
    if (controller == null) {
      clock.in(CONNECTION_FAILURE_MICROS, () -> reply.send(503, null));
      return;
    }
    simulation.controllers.send("user", controller, method, path, body, reply);
  }

  private static String cancelPath(String id) {
    return "/work/" + id + "/abort";
  }

  private static String jobState(JsonNode body) {
    return body == null ? "" : body.path("standing").asText("");
  }
}
