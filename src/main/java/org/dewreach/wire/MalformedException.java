package org.dewreach.wire;

/** Thrown if a message or a stored record does not conform to the protocol. */
public final class MalformedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;
  private final String problem;

  /**
   * Creates an exception for one field.
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

  /** Creates an exception for a whole message, or for a whole part of one. */
  public static MalformedException ofMessage(String problem) {
    return new MalformedException(null, problem, problem);
  }

  /** Returns the malformed field's name, or null if the message as a whole is malformed. */
  public String field() {
    return field;
  }

  /** Returns what is wrong, without the field's name. */
  public String problem() {
    return problem;
  }
}
