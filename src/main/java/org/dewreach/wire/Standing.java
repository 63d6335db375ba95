package org.dewreach.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** What a user is told about a job. */
public enum Standing {
  PENDING("pending"),
  RUNNING("running"),
  DONE("done"),
  WITHDRAWN("withdrawn");

  private final String word;

  Standing(String word) {
    this.word = word;
  }

  public String word() {
    return word;
  }

  public static Standing of(String word) throws MalformedException {
    for (Standing standing : values()) {
      if (standing.word.equals(word)) {
        return standing;
      }
    }
    throw new MalformedException("standing: unknown");
  }

  /** The answer to a submission or a withdrawal. */
  public ObjectNode answer(String jobId) {
    return Codec.map().put("uid", jobId).put("standing", word);
  }

  /** The answer to a query. */
  public ObjectNode answer(String jobId, int done, int running) {
    return answer(jobId).put("done", done).put("running", running);
  }
}
