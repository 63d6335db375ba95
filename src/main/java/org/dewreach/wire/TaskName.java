package org.dewreach.wire;

/** A task's public name, as in {@code req-000412/3}. */
public record TaskName(String jobId, int index) {

  public static TaskName parse(String text) throws MalformedException {
    int slash = text.lastIndexOf('/');
    if (slash <= 0) {
      throw new MalformedException("piece: no task name");
    }
    try {
      int index = Integer.parseInt(text.substring(slash + 1));
      if (index >= 0) {
        return new TaskName(text.substring(0, slash), index);
      }
    } catch (NumberFormatException e) {
      // told below, as for a negative number
    }
    throw new MalformedException("piece: no task name");
  }

  @Override
  public String toString() {
    return jobId + "/" + index;
  }
}
