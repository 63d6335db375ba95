package org.dewreach.port;

/** The recipient of a call. */
public sealed interface Target {
  /** The key-value store. */
  Target STATE = new State();

  /** The cloud. */
  Target CLOUD = new Cloud();

  /** The key-value store. */
  record State() implements Target {}

  /** The cloud. */
  record Cloud() implements Target {}

  /** Another controller, by its host name. */
  record Member(String name) implements Target {}

  /** A worker, by its address. */
  record Worker(String address) implements Target {}
}
