package org.dewreach.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;

/** The users and their jobs: what they submit, and when they ask, repeat themselves and cancel. */
final class SimUsers {
  private static final long LONG_JOB_MICROS = 20 * Clock.SECOND;

  private final Simulation simulation;
  private final UserRequests requests;
  private final Clock clock;
  private final Random random;
  private final JobGenerator generator;
  private final InvalidRequests invalidRequests;
  private final Map<String, JobSpec> specs = new HashMap<>();
  private final List<String> ids = new ArrayList<>();
  private final Set<String> cancelledAtEnd = new HashSet<>();
  private int cancelAsJobsEndShare;
  private long cancelAsJobsEndUntil;
  private long queryOnEachChangeUntil;

  /** Jobs submitted with a mistake: how long each of their tasks runs before it fails. */
  final Map<String, Long> failsAfterMicros = new HashMap<>();

  /** More small arrays than there is room for, and a large one now and then. */
  boolean overload;

  SimUsers(Simulation simulation) {
    this.simulation = simulation;
    this.requests = simulation.requests;
    this.clock = simulation.clock;
    this.random = simulation.random;
    this.generator = new JobGenerator(random);
    this.invalidRequests = new InvalidRequests(simulation, this);
  }

  // Jobs

  /** The description of a job; null if nobody submitted it. */
  JobSpec spec(String id) {
    return specs.get(id);
  }

  /** All jobs in the order of their submission. */
  List<String> ids() {
    return ids;
  }

  /** Jobs that were accepted and whose users were not told yet how they ended. */
  List<String> openJobs() {
    return ids.stream()
        .filter(id -> simulation.checker.accepted(id))
        .filter(id -> simulation.checker.reportedFinalState(id) == null)
        .toList();
  }

  /** Jobs that run, nobody has cancelled, and that have long to go, in random order. */
  List<String> longRunningJobs() {
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
    return spec.jobKind() == JobKind.SERVICE || spec.expectedMicros() >= LONG_JOB_MICROS;
  }

  // Submissions

  /** A job that a test describes; its user asks about it, and does nothing else. */
  void submitJob(JobSpec spec) {
    register(spec);
    requests.submitUntilAnswered(spec);
    requests.poll(spec.id());
  }

  /** One submission of a new job, to a given node. */
  void submitNewOnce(JobSpec spec, String node) {
    register(spec);
    requests.submitOnce(spec.id(), spec.toNode(), node);
  }

  private void register(JobSpec spec) {
    specs.put(spec.id(), spec);
    ids.add(spec.id());
    simulation.checker.onSubmit(spec);
  }

  /** A job of any kind; its user may cancel it, and submit it again. */
  void submitRandomJob() {
    JobSpec spec = drawJob();
    submitJob(spec);
    if (spec.jobKind() == JobKind.SERVICE || !overload && random.nextInt(5) == 0) {
      cancelIn(2_000_000 + random.nextInt(60_000_000), spec.id());
    }
    if (random.nextInt(4) == 0) {
      clock.in(random.nextInt(100_000_000), () -> requests.submitUntilAnswered(spec));
    }
  }

  /** A job that was not submitted yet. */
  JobSpec drawJob() {
    String id;
    do {
      id = String.format("req-%06d", random.nextInt(1_000_000));
    } while (specs.containsKey(id));
    return overload ? generator.overloadJob(id) : generator.anyJob(id);
  }

  /** A job of a large fleet: a service that is cancelled in the end, or an array. */
  void submitFleetJob(boolean service, int tasks, long runsMicros) {
    String id = String.format("req-%06d", specs.size());
    submitJob(generator.fleetJob(id, service, tasks, runsMicros));
    if (service) {
      cancelIn(runsMicros, id);
    }
  }

  /** An array or service whose tasks run for long, so that it can be cancelled meanwhile. */
  void submitLongJob(int tasks, long runsMicros) {
    submitJob(generator.longJob(String.format("req-long%d", ids.size()), tasks, runsMicros));
  }

  /** A job of one task that is over in seconds; one in four is cancelled at a drawn moment. */
  void submitShortJob() {
    String id = String.format("req-short%d", ids.size());
    submitJob(generator.shortJob(id));
    switch (random.nextInt(12)) {
      case 0 -> cancelIn(random.nextInt(20_000), id);
      case 1 -> cancelIn(random.nextInt(2_000_000), id);
      case 2 -> cancelledAtEnd.add(id);
      default -> {
        // runs to its end
      }
    }
  }

  /** Until the time given, users send what is out of place, to any node. */
  void sendInvalidRequests(long untilMicros) {
    invalidRequests.sendUntil(untilMicros);
  }

  // Cancellations and questions

  private void cancelIn(long micros, String id) {
    clock.in(micros, () -> requests.cancelUntilConfirmed(id));
  }

  /**
   * So many jobs that run and have long to go are cancelled within 0.2 s.
   *
   * @param hangMicros how long up to eight of their machines hang from now on
   */
  void cancelRunningJobs(int count, long hangMicros) {
    List<String> chosen = longRunningJobs().stream().limit(count).toList();
    if (hangMicros > 0) {
      chosen.stream()
          .flatMap(id -> simulation.checker.workersRunning(id).stream())
          .distinct()
          .limit(8)
          .forEach(worker -> worker.hang(hangMicros));
    }
    chosen.forEach(id -> cancelIn(random.nextInt(200_000), id));
  }

  /** For a while some jobs are cancelled, asked about and submitted again as they end. */
  void cancelJobsAsTheyEnd(int share, long untilMicros) {
    cancelAsJobsEndShare = share;
    cancelAsJobsEndUntil = untilMicros;
  }

  /** The last task of a job has completed; nobody but its machine knows yet. */
  void onAllTasksCompleted(String id) {
    if (cancelledAtEnd.remove(id)) {
      cancelIn(random.nextInt(random.nextBoolean() ? 1_000 : 700_000), id);
    }
    if (clock.now() < cancelAsJobsEndUntil && random.nextInt(1000) < cancelAsJobsEndShare) {
      int spread = random.nextBoolean() ? 1_000 : 700_000;
      cancelIn(random.nextInt(spread), id);
      clock.in(random.nextInt(spread), () -> requests.queryOnce(id, requests.anyController()));
      clock.in(random.nextInt(spread), () -> requests.submitUntilAnswered(specs.get(id)));
    }
  }

  /** For a while users ask all nodes, repeat themselves or cancel as soon as they hear news. */
  void queryOnEachChange(long untilMicros) {
    queryOnEachChangeUntil = untilMicros;
  }

  /** A job was just reported to be accepted, done or cancelled. */
  void onJobStateReported(String id) {
    if (clock.now() >= queryOnEachChangeUntil || !specs.containsKey(id)) {
      return;
    }
    int spread = random.nextInt(3) == 0 ? 150_000 : 4_000;
    for (String node : requests.reachableControllers) {
      clock.in(random.nextInt(spread), () -> requests.queryOnce(id, node));
      clock.in(random.nextInt(spread), () -> requests.queryOnce(id, node));
    }
    if (random.nextBoolean()) {
      clock.in(random.nextInt(spread), () -> requests.submitUntilAnswered(specs.get(id)));
    }
    if (random.nextInt(6) == 0) {
      cancelIn(random.nextInt(spread), id);
    }
  }
}
