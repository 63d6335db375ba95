package org.dewreach.wire;

/**
 * A task's public name, as in {@code req-000412/3}.
 *
 * @param jobId the job's id
 * @param index the task's position in its job, from 0
 */
public record TaskName(String jobId, int index) {

  /**
   * Parses a public name.
   *
   * @throws MalformedException if the text has no job id or no index
   */
  public static TaskName parse(String text) throws MalformedException {
    int slash = text.lastIndexOf('/');
    int index = slash <= 0 ? -1 : indexOrNegative(text.substring(slash + 1));
    if (index < 0) {
      throw new MalformedException("piece", "not a task name");
    }
    return new TaskName(text.substring(0, slash), index);
  }

  private static int indexOrNegative(String text) {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** Returns the public name, which {@link #parse} reads. */
  @Override
  public String toString() {
    return jobId + "/" + index;
  }
}
