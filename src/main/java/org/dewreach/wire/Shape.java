package org.dewreach.wire;

/** How a job's tasks run. */
public enum Shape {
  /** Independent tasks; each runs to completion. */
  SWEEP("sweep"),
  /** Tasks that run to completion, and only all at the same time. */
  GANG("gang"),
  /** Replicas that run until the job is withdrawn. */
  SERVICE("service");

  private final String word;

  Shape(String word) {
    this.word = word;
  }

  /** The word on the wire. */
  public String word() {
    return word;
  }

  /** The value with the given word; any other word is malformed. */
  public static Shape of(String word) throws MalformedException {
    for (Shape shape : values()) {
      if (shape.word.equals(word)) {
        return shape;
      }
    }
    throw new MalformedException("shape: unknown");
  }
}
