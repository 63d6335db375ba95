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

/** The users and their jobs: when users submit, query, resubmit and cancel which jobs. */
final class SimUsers {
  /** The shortest expected duration of a long job that is not a service. */
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

  /** The time for which each task of a failing job runs before it fails, by job id. */
  final Map<String, Long> failsAfterMicros = new HashMap<>();

  /**
   * The share of the random jobs that fail on every machine until they are cancelled, in
   * thousandths.
   */
  int failingShare;

  /** True if random jobs exceed the cluster's capacity: many small arrays and a few large ones. */
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

  /** Returns the description of a job; null if nobody submitted it. */
  JobSpec spec(String id) {
    return specs.get(id);
  }

  /** Returns the ids of all jobs, in the order of their submission. */
  List<String> ids() {
    return ids;
  }

  /** Returns the accepted jobs of which no response has reported a final state. */
  List<String> openJobs() {
    return ids.stream()
        .filter(id -> simulation.checker.accepted(id))
        .filter(id -> simulation.checker.reportedFinalState(id) == null)
        .toList();
  }

  /** Returns running services and long jobs that nobody has cancelled, in random order. */
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

  /** Submits the given job; its user then polls its state and does nothing else. */
  void submitJob(JobSpec spec) {
    register(spec);
    requests.submitUntilAnswered(spec);
    requests.poll(spec.id());
  }

  /** Submits a new job once, to the given controller. */
  void submitNewOnce(JobSpec spec, String controller) {
    register(spec);
    requests.submitOnce(spec.id(), spec.toNode(), controller);
  }

  private void register(JobSpec spec) {
    specs.put(spec.id(), spec);
    ids.add(spec.id());
    simulation.checker.onSubmit(spec);
  }

  /** Submits a random job; its user may cancel it later, and resubmit it. */
  void submitRandomJob() {
    JobSpec spec = newRandomJob();
    if (failingShare > 0 && random.nextInt(1000) < failingShare) {
      failsAfterMicros.put(spec.id(), 200_000L + random.nextInt(5_000_000));
      cancelIn(2_000_000 + random.nextInt(40_000_000), spec.id());
    }
    submitJob(spec);
    if (spec.jobKind() == JobKind.SERVICE || !overload && random.nextInt(5) == 0) {
      cancelIn(2_000_000 + random.nextInt(60_000_000), spec.id());
    }
    if (random.nextInt(4) == 0) {
      clock.in(random.nextInt(100_000_000), () -> requests.submitUntilAnswered(spec));
    }
  }

  /** Returns a random job with an unused id. */
  JobSpec newRandomJob() {
    String id;
    do {
      id = String.format("req-%06d", random.nextInt(1_000_000));
    } while (specs.containsKey(id));
    return overload ? generator.overloadJob(id) : generator.anyJob(id);
  }

  /** Submits a job for a large fleet: an array, or a service that is cancelled after its time. */
  void submitFleetJob(boolean service, int tasks, long runMicros) {
    String id = String.format("req-%06d", specs.size());
    submitJob(generator.fleetJob(id, service, tasks, runMicros));
    if (service) {
      cancelIn(runMicros, id);
    }
  }

  /** Submits an array or service whose tasks run long, so that it can be cancelled meanwhile. */
  void submitLongJob(int tasks, long runMicros) {
    submitJob(generator.longJob(String.format("req-long%d", ids.size()), tasks, runMicros));
  }

  /** Submits a job of one task that runs for seconds; one in four is cancelled at a random time. */
  void submitShortJob() {
    String id = String.format("req-short%d", ids.size());
    submitJob(generator.shortJob(id));
    switch (random.nextInt(12)) {
      case 0 -> cancelIn(random.nextInt(20_000), id);
      case 1 -> cancelIn(random.nextInt(2_000_000), id);
      case 2 -> cancelledAtEnd.add(id);
      default -> {
        // The job is not cancelled.
      }
    }
  }

  /** Sends invalid requests to random controllers until the given time. */
  void sendInvalidRequests(long untilMicros) {
    invalidRequests.sendUntil(untilMicros);
  }

  // Cancellations and queries

  private void cancelIn(long micros, String id) {
    clock.in(micros, () -> requests.cancelUntilConfirmed(id));
  }

  /**
   * Cancels running services and long jobs, all within 0.2 s.
   *
   * @param count the maximum number of jobs
   * @param hangMicros the time for which up to eight of their workers hang, from now on
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

  /**
   * Cancels, queries and resubmits some jobs at the moment they end, until the given time.
   *
   * @param share the share of these jobs, in thousandths
   */
  void cancelJobsAsTheyEnd(int share, long untilMicros) {
    cancelAsJobsEndShare = share;
    cancelAsJobsEndUntil = untilMicros;
  }

  /** Called when the last task of a job has completed, before its worker reports that. */
  void onAllTasksCompleted(String id) {
    if (cancelledAtEnd.remove(id)) {
      cancelIn(random.nextInt(random.nextBoolean() ? 1_000 : 700_000), id);
    }
    if (clock.now() < cancelAsJobsEndUntil && random.nextInt(1000) < cancelAsJobsEndShare) {
      int spread = random.nextBoolean() ? 1_000 : 700_000;
      cancelIn(random.nextInt(spread), id);
      clock.in(random.nextInt(spread), () -> requests.queryOnce(id, requests.randomController()));
      clock.in(random.nextInt(spread), () -> requests.submitUntilAnswered(specs.get(id)));
    }
  }

  /**
   * Until the given time, makes users query all controllers, resubmit or cancel as soon as a
   * response reports a new job state.
   */
  void queryOnEachChange(long untilMicros) {
    queryOnEachChangeUntil = untilMicros;
  }

  /** Called when a response first reports a job accepted, done or cancelled. */
  void onJobStateReported(String id) {
    if (clock.now() >= queryOnEachChangeUntil || !specs.containsKey(id)) {
      return;
    }
    int spread = random.nextInt(3) == 0 ? 150_000 : 4_000;
    for (String controller : requests.reachableControllers) {
      clock.in(random.nextInt(spread), () -> requests.queryOnce(id, controller));
      clock.in(random.nextInt(spread), () -> requests.queryOnce(id, controller));
    }
    if (random.nextBoolean()) {
      clock.in(random.nextInt(spread), () -> requests.submitUntilAnswered(specs.get(id)));
    }
    if (random.nextInt(6) == 0) {
      cancelIn(random.nextInt(spread), id);
    }
  }
}
