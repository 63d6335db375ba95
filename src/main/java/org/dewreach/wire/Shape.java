package org.dewreach.wire;

/** Whether a job's tasks run to completion each, or run until the job is withdrawn. */
public enum Shape {
  SWEEP("sweep"),
  SERVICE("service");

  private final String word;

  Shape(String word) {
    this.word = word;
  }

  public String word() {
    return word;
  }

  public static Shape of(String word) throws MalformedException {
    for (Shape shape : values()) {
      if (shape.word.equals(word)) {
        return shape;
      }
    }
    throw new MalformedException("shape: unknown");
  }
}
