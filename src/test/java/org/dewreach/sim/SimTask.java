package org.dewreach.sim;

/** An attempt of a task on a simulated worker. */
final class SimTask {
  /** The state of a task that a worker reports. */
  enum State {
    PULLING("pulling"),
    RUNNING("running"),
    EXITED("exited");

    final String wireName;

    State(String wireName) {
      this.wireName = wireName;
    }
  }

  /** The job's id and the task's index, separated by a slash as on the wire. */
  final String name;

  final long attempt;
  State state = State.PULLING;

  /** The exit cause, as on the wire; null before the exit. */
  String cause;

  /** True while the attempt's process runs. */
  boolean processRunning;

  SimTask(String name, long attempt) {
    this.name = name;
    this.attempt = attempt;
  }

  String jobId() {
    return name.substring(0, name.indexOf('/'));
  }

  int index() {
    return Integer.parseInt(name.substring(name.indexOf('/') + 1));
  }

  boolean hasExited() {
    return state == State.EXITED;
  }
}
