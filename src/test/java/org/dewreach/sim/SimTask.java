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

  /** The reason of its exit; null before that. */
  String cause;

  /** True while its process runs. */
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
