package org.dewreach.config;

/** Thrown if a settings file or script is invalid; the message names the field. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception; the message names the field and what is wrong with it. */
  public SettingsException(String message) {
    super(message);
  }
}
