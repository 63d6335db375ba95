package org.dewreach.wire;

/** A message that does not follow the protocol; its text names the field. */
public final class MalformedException extends Exception {
  private static final long serialVersionUID = 1L;

  /** An error whose message names the field and what is wrong with it. */
  public MalformedException(String message) {
    super(message, null, false, false);
  }
}
