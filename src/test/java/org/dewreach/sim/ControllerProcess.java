package org.dewreach.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.controller.Controller;

/** What is known of one controller's process: its core, its clock, its open requests and calls. */
final class ControllerProcess {
  final String name;
  final Settings settings;

  /** Null while the process is down. */
  Controller core;

  long startedAt;

  /** How fast its monotonic clock runs. */
  double drift;

  int boots;

  /** Until when it computes slowly, and how long whatever it handles waits. */
  private long slowUntil;

  private long slowdown;

  /** How long it is to freeze from the middle of its next event, or of a user's next request. */
  private long freezeAtEventMicros;

  private long freezeAtUserRequestMicros;
  long frozenUntil;
  private long lastRequest;

  /** Users' and workers' requests that it answered with other than 5xx. */
  int non5xxResponses;

  private final Map<Long, Reply> requests = new HashMap<>();
  private final Set<Long> userRequests = new HashSet<>();
  private final Set<Long> openCalls = new HashSet<>();

  ControllerProcess(String name, Settings settings) {
    this.name = name;
    this.settings = settings;
  }

  /** The process ends, and with it all that was open. */
  void end() {
    core = null;
    frozenUntil = 0;
    freezeAtEventMicros = 0;
    freezeAtUserRequestMicros = 0;
    requests.clear();
    userRequests.clear();
    openCalls.clear();
  }

  /** Whether it is up and holds that it leads. */
  boolean leads() {
    return core != null && core.leading();
  }

  long monotonicMicros(long nowMicros) {
    return (long) ((nowMicros - startedAt) * drift);
  }

  void slow(long untilMicros, long byMicros) {
    slowUntil = untilMicros;
    slowdown = byMicros;
  }

  /** How long whatever it handles now waits. */
  long slowdownMicros(long nowMicros) {
    return nowMicros < slowUntil ? slowdown : 0;
  }

  void freezeAtNextEvent(long micros) {
    freezeAtEventMicros = micros;
  }

  void freezeAtNextUserRequest(long micros) {
    freezeAtUserRequestMicros = micros;
  }

  /** For how long the process freezes in the middle of the event it handles; 0 if not at all. */
  long consumeFreeze(boolean handlesUserRequest) {
    if (freezeAtUserRequestMicros > 0 && handlesUserRequest) {
      freezeAtEventMicros = freezeAtUserRequestMicros;
      freezeAtUserRequestMicros = 0;
    }
    long micros = freezeAtEventMicros;
    freezeAtEventMicros = 0;
    return micros;
  }

  /** Registers a request that waits for its response; returns its id. */
  long openRequest(IncomingRequest request) {
    long id = ++lastRequest;
    requests.put(id, request.reply());
    if (request.isFromUser()) {
      userRequests.add(id);
    }
    return id;
  }

  /** Whether the request came from a user; true once only. */
  boolean consumeUserRequest(long requestId) {
    return userRequests.remove(requestId);
  }

  /** Where the response to the request goes; null if it was sent already. */
  Reply consumeRequest(long requestId) {
    return requests.remove(requestId);
  }

  void openCall(long callId) {
    openCalls.add(callId);
  }

  /** Whether the call had no reply yet; from now on it has. */
  boolean closeCall(long callId) {
    return openCalls.remove(callId);
  }
}
