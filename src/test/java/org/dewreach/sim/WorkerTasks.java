package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.stream.Stream;
import org.dewreach.wire.JobSpec;

/** The tasks on one simulated worker: executes commands, and runs and stops the tasks. */
final class WorkerTasks {
  private static final String DONE = "done";
  private static final String ERROR = "error";

  private final Simulation simulation;
  private final SimWorker worker;
  private final Clock clock;
  private final Random random;
  private final Map<String, SimTask> tasks = new LinkedHashMap<>();

  WorkerTasks(Simulation simulation, SimWorker worker) {
    this.simulation = simulation;
    this.worker = worker;
    this.clock = simulation.clock;
    this.random = simulation.random;
  }

  /** Ends and removes all tasks. */
  void endAll() {
    tasks.values().forEach(task -> endProcess(task, false));
    tasks.clear();
  }

  private void endProcess(SimTask task, boolean completed) {
    if (task.processRunning) {
      task.processRunning = false;
      simulation.checker.onEnd(worker, task.jobId(), task.index(), completed);
    }
  }

  /** Adds the task reports of a heartbeat. */
  void report(ArrayNode list) {
    for (SimTask task : tasks.values()) {
      if (simulation.workerDefects.omitsRunningTasks && task.processRunning) {
        continue;
      }
      ObjectNode item = list.addObject().put("piece", task.name);
      item.put("try", task.attempt).put("standing", task.state.wireName);
      if (task.cause != null) {
        item.put("cause", task.cause);
      }
    }
  }

  /** Executes a command of a controller. */
  void execute(JsonNode command) {
    String name = command.path("piece").asText();
    long attempt = command.path("try").asLong();
    SimTask present = tasks.get(name);
    switch (command.path("verb").asText()) {
      case "start" -> start(name, attempt, present);
      case "halt" -> stop(attempt, present);
      case "clear" -> remove(attempt, present);
      default -> throw new IllegalArgumentException("unknown verb in command " + command);
    }
  }

  private void stop(long attempt, SimTask present) {
    boolean executes = !simulation.workerDefects.ignoresStops;
    if (executes && present != null && present.attempt == attempt && !present.hasExited()) {
      exit(present, "stopped");
    }
  }

  private void remove(long attempt, SimTask present) {
    if (present != null && present.attempt == attempt && present.hasExited()) {
      tasks.remove(present.name);
      worker.markChanged();
    }
  }

  private void start(String name, long attempt, SimTask present) {
    if (present != null && (present.attempt == attempt || !present.hasExited())) {
      if (present.attempt < attempt && !simulation.workerDefects.omitsRunningTasks) {
        throw new IllegalStateException(
            name + " started while an earlier attempt has not exited on " + worker.name);
      }
      return;
    }
    SimTask task = new SimTask(name, attempt);
    tasks.put(name, task);
    worker.markChanged();
    JobSpec spec = specOf(task);
    if (spec == null) {
      exit(task, "no_such");
    } else if (cpusUsed() > worker.cpus + 1e-6 || memoryUsed() > worker.memoryGb + 1e-6) {
      exit(task, "full");
    } else {
      clock.in(500_000 + random.nextInt(3_000_000), () -> startProcess(task, spec));
    }
  }

  /** Starts the task's process after its image was pulled; a worker that hangs starts it later. */
  private void startProcess(SimTask task, JobSpec spec) {
    if (tasks.get(task.name) != task || task.state != SimTask.State.PULLING) {
      return;
    }
    if (worker.hung()) {
      clock.at(worker.hungUntil(), () -> startProcess(task, spec));
      return;
    }
    task.state = SimTask.State.RUNNING;
    task.processRunning = true;
    worker.startedTasks++;
    simulation.checker.onStart(worker, task.jobId(), task.index());
    worker.reportChange();
    Long failsAfter = simulation.users.failsAfterMicros.get(task.jobId());
    if (worker.failsAllTasks) {
      clock.in(200_000, () -> finish(task, ERROR));
    } else if (failsAfter != null) {
      clock.in(failsAfter, () -> finish(task, ERROR));
    } else if (spec.expectedMicros() > 0) {
      long run = spec.expectedMicros() * (50 + random.nextInt(100)) / 100;
      clock.in(run, () -> finish(task, DONE));
    }
  }

  private void finish(SimTask task, String cause) {
    if (tasks.get(task.name) == task && task.state == SimTask.State.RUNNING) {
      if (worker.hung()) {
        clock.at(worker.hungUntil(), () -> finish(task, cause));
        return;
      }
      exit(task, cause);
    }
  }

  private void exit(SimTask task, String cause) {
    if (simulation.workerDefects.startsStoppedTasks && task.state == SimTask.State.PULLING) {
      clock.in(3_000_000, () -> simulation.checker.onStart(worker, task.jobId(), task.index()));
    }
    task.state = SimTask.State.EXITED;
    task.cause = cause;
    endProcess(task, cause.equals(DONE) && !simulation.workerDefects.reportsFalseCompletion);
    worker.reportChange();
  }

  // Tasks and their resources

  private JobSpec specOf(SimTask task) {
    return simulation.users.spec(task.jobId());
  }

  private Stream<SimTask> notExited() {
    return tasks.values().stream().filter(task -> !task.hasExited());
  }

  /** Returns the job description of each task that has not exited. */
  private Stream<JobSpec> specs() {
    return notExited().map(this::specOf).filter(Objects::nonNull);
  }

  double cpusUsed() {
    return specs().mapToDouble(JobSpec::cpus).sum();
  }

  double memoryUsed() {
    return specs().mapToDouble(JobSpec::memoryGb).sum();
  }

  /** Adds the CPUs of the tasks, running or still pulling, to the usage by team. */
  void addCpuUse(Map<String, Double> used) {
    specs().forEach(spec -> used.merge(spec.team(), spec.cpus(), Double::sum));
  }

  /** Returns the indexes of the job's tasks, running or still pulling. */
  List<Integer> tasksOf(String jobId) {
    return notExited().filter(task -> task.jobId().equals(jobId)).map(SimTask::index).toList();
  }

  /** Returns the names of the running tasks. */
  List<String> runningTasks() {
    return tasks.values().stream()
        .filter(task -> task.processRunning)
        .map(task -> task.name)
        .toList();
  }
}
