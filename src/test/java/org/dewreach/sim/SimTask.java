package org.dewreach.sim;

/** An attempt of a task on a simulated machine. */
final class SimTask {
  /** What a worker reports of a task, by its word on the wire. */
  enum State {
    PULLING("pulling"),
    RUNNING("running"),
    EXITED("exited");

    final String wireName;

    State(String wireName) {
      this.wireName = wireName;
    }
  }

  /** The job's id and the task's index, as on the wire. */
  final String name;

  final long attempt;
  State state = State.PULLING;

  /** Why it exited; null until it did. */
  String cause;

  /** Whether its process runs. */
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
