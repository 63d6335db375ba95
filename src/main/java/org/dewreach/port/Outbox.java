package org.dewreach.port;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.dewreach.wire.HttpStatus;

/** The core's outbox, and the calls whose replies are still to come. */
public final class Outbox {
  /** Takes the outcome of a call; status 0 means that none came. */
  @FunctionalInterface
  public interface ReplyHandler {
    /**
     * Called once per call.
     *
     * @param status the HTTP status, or 0 if no response came
     * @param body the decoded body, or null
     */
    void onReply(long nowMicros, int status, JsonNode body);
  }

  private final Long2ObjectOpenHashMap<ReplyHandler> pendingCalls = new Long2ObjectOpenHashMap<>();
  private final LongSupplier authorityUntil;
  private List<Effect> outbox = new ArrayList<>();
  private long lastCallId;

  /** Calls of a node that needs no authority. */
  public Outbox() {
    this(() -> Effect.NO_EXPIRY);
  }

  /**
   * Calls of a controller.
   *
   * @param authorityUntil until when what is decided now may be told to workers and users
   */
  public Outbox(LongSupplier authorityUntil) {
    this.authorityUntil = authorityUntil;
  }

  /** Sends a request; the handler gets exactly one outcome. */
  public void call(
      Target target,
      String method,
      String path,
      JsonNode body,
      long timeoutMicros,
      ReplyHandler handler) {
    call(target, ConnectionPool.GENERAL, method, path, body, timeoutMicros, handler);
  }

  /** Sends a request over the connections of the given pool. */
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
    // The key-value store fences writes itself, and the cloud's requests do no harm when late.
    long notAfter = target instanceof Target.Worker ? authorityUntil.getAsLong() : Effect.NO_EXPIRY;
    outbox.add(new Effect.Call(callId, target, pool, method, path, body, timeoutMicros, notAfter));
  }

  /** Answers a request. */
  public void respond(long requestId, int status, JsonNode body) {
    respondWithRetryAfter(requestId, status, body, 0);
  }

  /**
   * Answers a request, with a Retry-After header.
   *
   * @param retryAfterS value of the header, or 0 for none
   */
  public void respondWithRetryAfter(long requestId, int status, JsonNode body, int retryAfterS) {
    // To be sent away needs no authority; what is told as the leader does.
    boolean tells = status < HttpStatus.BAD_REQUEST || status == HttpStatus.NOT_FOUND;
    long notAfter = tells ? authorityUntil.getAsLong() : Effect.NO_EXPIRY;
    outbox.add(new Effect.Respond(requestId, status, body, retryAfterS, notAfter));
  }

  /** Answers, but not after the time given. */
  public void respondUntil(long requestId, int status, JsonNode body, long notAfterMicros) {
    outbox.add(new Effect.Respond(requestId, status, body, 0, notAfterMicros));
  }

  /** Hands the outcome of a call to its handler. */
  public void reply(long nowMicros, Event.Reply reply) {
    ReplyHandler handler = pendingCalls.remove(reply.callId());
    if (handler != null) {
      handler.onReply(nowMicros, reply.status(), reply.body());
    }
  }

  /** Calls without an outcome yet. */
  public int openCalls() {
    return pendingCalls.size();
  }

  /** Hands over the effects collected since the last time. */
  public List<Effect> drain() {
    if (outbox.isEmpty()) {
      return List.of();
    }
    List<Effect> effects = outbox;
    outbox = new ArrayList<>();
    return effects;
  }
}
