package org.dewreach.port;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.dewreach.wire.HttpStatus;

/** Collects the core's effects, and matches replies with the handlers of pending calls. */
public final class Outbox {
  /** Receives the outcome of a call. */
  @FunctionalInterface
  public interface ReplyHandler {
    /**
     * Called exactly once per call.
     *
     * @param status the HTTP status, or 0 if no response came
     * @param body the decoded body, or null
     */
    void onReply(long nowMicros, int status, JsonNode body);
  }

  private final Long2ObjectOpenHashMap<ReplyHandler> pendingCalls = new Long2ObjectOpenHashMap<>();
  private final LongSupplier authorityUntil;
  private List<Effect> effects = new ArrayList<>();
  private long lastCallId;

  /** Creates an outbox whose effects need no authority. */
  public Outbox() {
    this(() -> Effect.NO_EXPIRY);
  }

  /**
   * Creates the outbox of a controller.
   *
   * @param authorityUntil returns the time until which decisions made now may be sent to workers
   *     and users
   */
  public Outbox(LongSupplier authorityUntil) {
    this.authorityUntil = authorityUntil;
  }

  /** Sends a request over the general connections; the handler receives exactly one outcome. */
  public void call(
      Target target,
      String method,
      String path,
      JsonNode body,
      long timeoutMicros,
      ReplyHandler handler) {
    call(target, ConnectionPool.GENERAL, method, path, body, timeoutMicros, handler);
  }

  /**
   * Sends a request over connections of the given pool; the handler receives exactly one outcome.
   */
  public void call(
      Target target,
      ConnectionPool pool,
      String method,
      String path,
      JsonNode body,
      long timeoutMicros,
      ReplyHandler handler) {
    long callId = ++lastCallId;
    pendingCalls.put(callId, handler);
    // Only commands to workers expire: the key-value store fences writes itself, and requests to
    // the cloud do no harm when they are late.
    long notAfter = target instanceof Target.Worker ? authorityUntil.getAsLong() : Effect.NO_EXPIRY;
    effects.add(new Effect.Call(callId, target, pool, method, path, body, timeoutMicros, notAfter));
  }

  /** Responds to a request. */
  public void respond(long requestId, int status, JsonNode body) {
    respondWithRetryAfter(requestId, status, body, 0);
  }

  /**
   * Responds to a request with a Retry-After header.
   *
   * @param retryAfterS value of the header, or 0 for none
   */
  public void respondWithRetryAfter(long requestId, int status, JsonNode body, int retryAfterS) {
    // A rejection or a request to retry needs no authority; a statement about jobs or machines
    // does, and so does 'not found'.
    boolean needsAuthority = status < HttpStatus.BAD_REQUEST || status == HttpStatus.NOT_FOUND;
    long notAfter = needsAuthority ? authorityUntil.getAsLong() : Effect.NO_EXPIRY;
    effects.add(new Effect.Respond(requestId, status, body, retryAfterS, notAfter));
  }

  /** Responds to a request, but not after the given time. */
  public void respondUntil(long requestId, int status, JsonNode body, long notAfterMicros) {
    effects.add(new Effect.Respond(requestId, status, body, 0, notAfterMicros));
  }

  /** Passes the outcome of a call to its handler. */
  public void reply(long nowMicros, Event.Reply reply) {
    ReplyHandler handler = pendingCalls.remove(reply.callId());
    if (handler != null) {
      handler.onReply(nowMicros, reply.status(), reply.body());
    }
  }

  /** Returns the number of calls without an outcome yet. */
  public int openCalls() {
    return pendingCalls.size();
  }

  /** Removes and returns the effects collected since the last call. */
  public List<Effect> drain() {
    if (effects.isEmpty()) {
      return List.of();
    }
    List<Effect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
