package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;

/** Users who submit, poll, repeat themselves and cancel. */
final class SimUsers {
  private static final int MAX_ABORT_RETRIES = 30;

  private final Simulation simulation;
  private final Random random;
  private final Map<String, JobSpec> specs = new HashMap<>();
  private final List<String> ids = new ArrayList<>();
  private final Set<String> cancelledAtEnd = new HashSet<>();
  private final Set<String> abandonedCancellations = new LinkedHashSet<>();
  private int cancelAtEndShare;
  private long cancelAtEndUntil;
  private int oddRequests;
  private long queryOnEachChangeUntil;

  /** Changes what the controllers are told of a job; nothing unless a test says so. */
  Consumer<JsonNode> alterSubmission = body -> {};

  SimUsers(Simulation simulation) {
    this.simulation = simulation;
    this.random = simulation.random;
  }

  /** Jobs submitted with a mistake: how long each of their tasks runs before it fails. */
  final Map<String, Long> failsAfter = new HashMap<>();

  /** The nodes that users reach. */
  List<String> nodes = Simulation.NODES;

  /** More small arrays than there is room for, and a large one now and then. */
  boolean flood;

  private JobSpec drawFlood(String id) {
    boolean large = random.nextInt(20) == 0;
    return new JobSpec(
        id,
        "sweep",
        random.nextBoolean() ? "red" : "blue",
        JobKind.ARRAY,
        Priority.NORMAL,
        large ? 30 : 1 + random.nextInt(6),
        2,
        0,
        2,
        "img",
        1,
        null,
        null,
        false,
        false,
        true,
        12_000_000,
        0,
        0,
        60_000_000);
  }

  /** Size and team of a job. */
  String group(String id) {
    return (specs.get(id).tasks() >= 30 ? "large " : "small ") + specs.get(id).team();
  }

  JobSpec spec(String id) {
    return specs.get(id);
  }

  List<String> ids() {
    return ids;
  }

  void submitRandomJob() {
    JobSpec spec = draw();
    submitJob(spec);
    if (spec.jobKind() == JobKind.SERVICE || !flood && random.nextInt(5) == 0) {
      simulation.clock.in(2_000_000 + random.nextInt(60_000_000), () -> cancel(spec.id(), 0));
    }
    if (random.nextInt(4) == 0) {
      simulation.clock.in(random.nextInt(100_000_000), () -> submit(spec, 0));
    }
  }

  /** A job of a large fleet: a service, or an array that may use spot machines. */
  void submitFleetJob(boolean service, int tasks, long runsMicros) {
    String id = String.format("req-%06d", specs.size());
    submitJob(
        new JobSpec(
            id,
            service ? "live" : "sweep",
            random.nextBoolean() ? "red" : "blue",
            service ? JobKind.SERVICE : JobKind.ARRAY,
            service ? Priority.HIGH : Priority.NORMAL,
            tasks,
            2,
            0,
            2,
            "img",
            1,
            null,
            null,
            false,
            false,
            !service,
            service ? 0 : runsMicros,
            0,
            0,
            -1));
    if (service) {
      simulation.clock.in(runsMicros, () -> cancel(id, 0));
    }
  }

  /** A job that a test describes; its user asks about it, and does nothing else. */
  void submitJob(JobSpec spec) {
    specs.put(spec.id(), spec);
    ids.add(spec.id());
    simulation.checker.onSubmit(spec);
    submit(spec, 0);
    poll(spec.id());
  }

  private JobSpec draw() {
    String id;
    do {
      id = String.format("req-%06d", random.nextInt(1_000_000));
    } while (specs.containsKey(id));
    if (flood) {
      return drawFlood(id);
    }
    boolean service = random.nextInt(3) == 0;
    int tasks = service ? 1 + random.nextInt(2) : 1 + random.nextInt(8);
    boolean together = random.nextInt(6) == 0;
    boolean scatter = !together && random.nextInt(6) == 0;
    return new JobSpec(
        id,
        service ? "live" : "sweep",
        random.nextBoolean() ? "red" : "blue",
        service ? JobKind.SERVICE : random.nextInt(5) == 0 ? JobKind.GANG : JobKind.ARRAY,
        Priority.values()[random.nextInt(4)],
        tasks,
        1 + random.nextInt(3),
        0,
        1 + random.nextInt(6),
        "img",
        1,
        random.nextInt(5) == 0 ? List.of("big") : null,
        random.nextInt(6) == 0 && !scatter ? "a" : null,
        together,
        scatter,
        random.nextBoolean(),
        service ? 0 : 1_000_000 + random.nextInt(12_000_000),
        0,
        0,
        service ? -1 : 60_000_000);
  }

  /** An array or service whose tasks run for long, so that it can be cancelled meanwhile. */
  void submitLongJob(int tasks, long runsMicros) {
    boolean service = random.nextInt(3) == 0;
    submitJob(
        new JobSpec(
            String.format("req-long%d", ids.size()),
            service ? "live" : "sweep",
            random.nextBoolean() ? "red" : "blue",
            service ? JobKind.SERVICE : JobKind.ARRAY,
            Priority.values()[random.nextInt(4)],
            tasks,
            1,
            0,
            1 + random.nextInt(6),
            "img",
            1,
            null,
            random.nextInt(3) > 0 ? null : random.nextBoolean() ? "a" : "b",
            false,
            false,
            random.nextBoolean(),
            service ? 0 : runsMicros,
            0,
            0,
            -1));
  }

  /** Jobs that run, nobody has called off, and that have long to go. */
  List<String> longRunning() {
    List<String> found =
        new ArrayList<>(
            ids.stream()
                .filter(id -> runsLong(specs.get(id)) && !simulation.checker.cancelRequested(id))
                .filter(id -> !simulation.checker.workersRunning(id).isEmpty())
                .toList());
    Collections.shuffle(found, random);
    return found;
  }

  private static boolean runsLong(JobSpec spec) {
    return spec.jobKind() == JobKind.SERVICE || spec.expectedMicros() >= 20_000_000;
  }

  /**
   * So many jobs that run and have long to go are called off within 0.2 s.
   *
   * @param hangMicros how long up to eight of their machines hang from now on
   */
  void cancelNow(int count, long hangMicros) {
    List<String> called = longRunning().stream().limit(count).toList();
    if (hangMicros > 0) {
      called.stream()
          .flatMap(id -> simulation.checker.workersRunning(id).stream())
          .distinct()
          .limit(8)
          .forEach(worker -> worker.hang(hangMicros));
    }
    called.forEach(id -> simulation.clock.in(random.nextInt(200_000), () -> cancel(id, 0)));
  }

  /** For a while some jobs are called off, asked about and submitted again as they end. */
  void cancelAtEnd(int share, long untilMicros) {
    cancelAtEndShare = share;
    cancelAtEndUntil = untilMicros;
  }

  /** The last task of a job has completed; nobody but its machine knows yet. */
  void onAllTasksCompleted(String id) {
    if (cancelledAtEnd.remove(id)) {
      simulation.clock.in(
          random.nextInt(random.nextBoolean() ? 1_000 : 700_000), () -> cancel(id, 0));
    }
    if (simulation.clock.now() < cancelAtEndUntil && random.nextInt(1000) < cancelAtEndShare) {
      int spread = random.nextBoolean() ? 1_000 : 700_000;
      simulation.clock.in(random.nextInt(spread), () -> cancel(id, 0));
      simulation.clock.in(random.nextInt(spread), () -> query(id, anyNode()));
      simulation.clock.in(random.nextInt(spread), () -> submit(specs.get(id), 0));
    }
  }

  /** For a while users ask all nodes, repeat themselves or cancel as soon as they hear news. */
  void queryOnEachChange(long untilMicros) {
    queryOnEachChangeUntil = untilMicros;
  }

  /** A job was just told to be accepted, done or cancelled. */
  void onJobStateReported(String id) {
    if (simulation.clock.now() >= queryOnEachChangeUntil || !specs.containsKey(id)) {
      return;
    }
    int spread = random.nextInt(3) == 0 ? 150_000 : 4_000;
    for (String node : nodes) {
      simulation.clock.in(random.nextInt(spread), () -> query(id, node));
      simulation.clock.in(random.nextInt(spread), () -> query(id, node));
    }
    if (random.nextBoolean()) {
      simulation.clock.in(random.nextInt(spread), () -> submit(specs.get(id), 0));
    }
    if (random.nextInt(6) == 0) {
      simulation.clock.in(random.nextInt(spread), () -> cancel(id, 0));
    }
  }

  /** A job of one task that is over in seconds; one in four is cancelled at a drawn moment. */
  void submitShortJob() {
    String id = String.format("req-short%d", ids.size());
    long runsMicros = 500_000 + random.nextInt(3_000_000);
    submitJob(
        new JobSpec(
            id,
            "sweep",
            random.nextBoolean() ? "red" : "blue",
            JobKind.ARRAY,
            Priority.values()[random.nextInt(4)],
            1,
            1,
            0,
            1,
            "img",
            0.1,
            null,
            null,
            false,
            false,
            random.nextBoolean(),
            runsMicros,
            0,
            0,
            60_000_000));
    switch (random.nextInt(12)) {
      case 0 -> simulation.clock.in(random.nextInt(20_000), () -> cancel(id, 0));
      case 1 -> simulation.clock.in(random.nextInt(2_000_000), () -> cancel(id, 0));
      case 2 -> cancelledAtEnd.add(id);
      default -> {
        // runs to its end
      }
    }
  }

  /** Until the time given, users send what is out of place, to any node. */
  void sendInvalidRequests(long untilMicros) {
    if (simulation.clock.now() < untilMicros) {
      switch (random.nextInt(6)) {
        case 0, 1 -> repeatOddly();
        case 2 -> cancelEnded();
        case 3 -> cancel("req-none" + random.nextInt(100), anyNode());
        case 4 -> submitWrong(unfit(), 422);
        default -> submitWrong(malformed(), 400);
      }
      simulation.clock.in(
          100_000 + random.nextInt(600_000), () -> sendInvalidRequests(untilMicros));
    }
  }

  /** A repeat, perhaps one that differs or could not be accepted. */
  private void repeatOddly() {
    List<String> known = ids.stream().filter(simulation.checker::accepted).toList();
    if (!known.isEmpty()) {
      String id = known.get(random.nextInt(known.size()));
      ObjectNode body = specs.get(id).toNode();
      switch (random.nextInt(4)) {
        case 0 -> body.put("pieces", 77).put("lane", "other");
        case 1 -> misfit(body);
        case 2 -> mangle(body);
        default -> {
          // just a repeat
        }
      }
      submit(id, body, 0);
    }
  }

  private void cancelEnded() {
    List<String> ended =
        ids.stream().filter(id -> simulation.checker.reportedFinalState(id) != null).toList();
    if (!ended.isEmpty()) {
      cancel(ended.get(random.nextInt(ended.size())), anyNode());
    }
  }

  private void submitWrong(ObjectNode body, int refusal) {
    String id = body.path("uid").asText();
    simulation.checker.onWrongSubmit(id, refusal);
    submit(id, body, 0);
  }

  private ObjectNode fresh() {
    JobSpec spec = draw();
    return spec.toNode().put("uid", "req-odd" + oddRequests++);
  }

  /** A job that fits no machine type, or is beyond its team's limit. */
  private ObjectNode unfit() {
    ObjectNode body = fresh();
    misfit(body);
    return body;
  }

  private void misfit(ObjectNode body) {
    switch (random.nextInt(6)) {
      case 0 -> body.put("cpus", 16.5);
      case 1 -> body.put("memory_gb", 64.5);
      case 2 -> body.put("cards", 1.0);
      case 3 -> body.put("site", "z");
      case 4 -> body.put("desk", "nobody");
      default -> body.put("shape", "service").put("pieces", 40).put("cpus", 1.0);
    }
  }

  /** A job that lacks a field, or has one that is none. */
  private ObjectNode malformed() {
    ObjectNode body = fresh();
    mangle(body);
    return body;
  }

  private void mangle(ObjectNode body) {
    List<String> needed =
        List.of(
            "lane",
            "desk",
            "shape",
            "urgency",
            "pieces",
            "cpus",
            "cards",
            "memory_gb",
            "bundle",
            "pull_gb",
            "together",
            "scatter",
            "loaners",
            "expected_s",
            "mark_every_s",
            "mark_cost_s");
    List<String> amounts = List.of("cpus", "cards", "memory_gb", "pull_gb", "expected_s", "due_s");
    String amount = amounts.get(random.nextInt(amounts.size()));
    switch (random.nextInt(5)) {
      case 0 -> body.remove(needed.get(random.nextInt(needed.size())));
      case 1 -> body.putArray(needed.get(random.nextInt(needed.size())));
      case 2 -> body.put(amount, Double.NaN);
      case 3 -> body.put(amount, -1.0);
      default -> body.put("pieces", 1.5);
    }
  }

  private String anyNode() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  private void submit(JobSpec spec, int tries) {
    submit(spec.id(), spec.toNode(), tries);
  }

  private void submit(String id, ObjectNode described, int tries) {
    boolean[] answered = {false};
    Checker.KnownState asked = simulation.checker.onRequestSent(id);
    ObjectNode sent = described.deepCopy();
    alterSubmission.accept(sent);
    simulation.toNode(
        "user",
        anyNode(),
        "POST",
        "/work",
        sent,
        (status, body) -> {
          if (answered[0]) {
            return;
          }
          answered[0] = true;
          simulation.checker.onSubmitAnswer(id, asked, status, jobState(body));
          if (status >= 429 && tries < 30) {
            simulation.clock.in(1_000_000, () -> submit(id, described, tries + 1));
          }
        });
    simulation.clock.in(
        5_000_000,
        () -> {
          if (!answered[0] && tries < 30) {
            answered[0] = true;
            submit(id, described, tries + 1);
          }
        });
  }

  private void poll(String id) {
    simulation.clock.in(
        3_000_000 + random.nextInt(4_000_000),
        () -> {
          // Somebody's polls may be answered by different nodes in any order, but each user asks
          // one
          // at a time: an answer counts only if it came before the next question.
          boolean[] answered = {false};
          Checker.KnownState asked = simulation.checker.onRequestSent(id);
          simulation.toNode(
              "user",
              anyNode(),
              "GET",
              "/work/" + id,
              null,
              (status, body) -> {
                if (!answered[0]) {
                  answered[0] = true;
                  simulation.checker.onQueryAnswer(id, asked, status, jobState(body));
                }
              });
          simulation.clock.in(
              2_000_000,
              () -> {
                if (!answered[0]) {
                  answered[0] = true;
                  simulation.checker.onQueryFailed(id);
                }
                poll(id);
              });
        });
  }

  /** A cancellation, repeated at any node until it is answered. */
  void cancel(String id, int tries) {
    simulation.checker.onCancelRequested(id);
    boolean[] answered = {false};
    Checker.KnownState asked = simulation.checker.onRequestSent(id);
    simulation.toNode(
        "user",
        anyNode(),
        "POST",
        "/work/" + id + "/abort",
        null,
        (status, body) -> {
          if (answered[0]) {
            return;
          }
          answered[0] = true;
          simulation.checker.onCancelAnswer(id, asked, status, jobState(body));
          if (status != 200) {
            cancelAgain(id, tries, 1_000_000);
          }
        });
    simulation.clock.in(
        5_000_000,
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            cancelAgain(id, tries, 0);
          }
        });
  }

  private void cancelAgain(String id, int tries, long pauseMicros) {
    if (tries < MAX_ABORT_RETRIES) {
      simulation.clock.in(pauseMicros, () -> cancel(id, tries + 1));
    } else {
      abandonedCancellations.add(id);
    }
  }

  /** Users who gave up on a cancellation while the troubles lasted ask for it once more. */
  void resumeAbandonedCancellations() {
    List<String> again = List.copyOf(abandonedCancellations);
    abandonedCancellations.clear();
    again.forEach(id -> cancel(id, 0));
  }

  /** One question, to a given node. */
  void query(String id, String node) {
    Checker.KnownState asked = simulation.checker.onRequestSent(id);
    simulation.toNode(
        "user",
        node,
        "GET",
        "/work/" + id,
        null,
        (status, body) -> simulation.checker.onQueryAnswer(id, asked, status, jobState(body)));
  }

  /** One submission of a new job, to a given node. */
  void submitNew(JobSpec spec, String node) {
    specs.put(spec.id(), spec);
    ids.add(spec.id());
    simulation.checker.onSubmit(spec);
    submitOnce(spec.id(), spec.toNode(), node);
  }

  /** One submission, to a given node. */
  void submitOnce(String id, ObjectNode described, String node) {
    Checker.KnownState asked = simulation.checker.onRequestSent(id);
    simulation.toNode(
        "user",
        node,
        "POST",
        "/work",
        described.deepCopy(),
        (status, body) -> simulation.checker.onSubmitAnswer(id, asked, status, jobState(body)));
  }

  /** One cancellation, to a given node. */
  void cancel(String id, String node) {
    if (specs.containsKey(id)) {
      simulation.checker.onCancelRequested(id);
    }
    Checker.KnownState asked = simulation.checker.onRequestSent(id);
    simulation.toNode(
        "user",
        node,
        "POST",
        "/work/" + id + "/abort",
        null,
        (status, body) -> simulation.checker.onCancelAnswer(id, asked, status, jobState(body)));
  }

  /** Asks for a job that nobody submitted. */
  void queryUnknownJob() {
    String id = "req-none" + random.nextInt(100);
    Checker.KnownState asked = simulation.checker.onRequestSent(id);
    simulation.toNode(
        "user",
        anyNode(),
        "GET",
        "/work/" + id,
        null,
        (status, body) -> simulation.checker.onQueryAnswer(id, asked, status, jobState(body)));
  }

  private static String jobState(JsonNode body) {
    return body == null ? "" : body.path("standing").asText("");
  }
}
