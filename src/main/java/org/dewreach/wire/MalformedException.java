package org.dewreach.wire;

/** A message or record that does not follow the protocol. */
public final class MalformedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;
  private final String problem;

  /**
   * An error of one field.
   *
   * @param field the field's name on the wire
   * @param problem what is wrong with it
   */
  public MalformedException(String field, String problem) {
    this(field, problem, field + ": " + problem);
  }

  private MalformedException(String field, String problem, String message) {
    super(message, null, false, false);
    this.field = field;
    this.problem = problem;
  }

  /** An error of a message, or of a part of it, as a whole. */
  public static MalformedException ofMessage(String problem) {
    return new MalformedException(null, problem, problem);
  }

  /** The name of the malformed field, or null if the message as a whole is malformed. */
  public String field() {
    return field;
  }

  /** What is wrong. */
  public String problem() {
    return problem;
  }
}
