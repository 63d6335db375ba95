package org.dewreach.config;

/** A settings file that cannot be used; the message names the field. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** An error whose message names the field and what is wrong with it. */
  public SettingsException(String message) {
    super(message);
  }
}
