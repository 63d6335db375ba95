package org.dewreach.port;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/** The core's outbox, and the calls whose replies are still to come. */
public final class Calls {
  /** Takes the outcome of a call; status 0 means that none came. */
  @FunctionalInterface
  public interface ReplyHandler {
    void onReply(long nowMicros, int status, JsonNode body);
  }

  private final Long2ObjectOpenHashMap<ReplyHandler> open = new Long2ObjectOpenHashMap<>();
  private List<Effect> outbox = new ArrayList<>();
  private long lastCallId;

  public void call(
      Target target,
      String method,
      String path,
      JsonNode body,
      long timeoutMicros,
      ReplyHandler handler) {
    long callId = ++lastCallId;
    open.put(callId, handler);
    outbox.add(new Effect.Call(callId, target, method, path, body, timeoutMicros));
  }

  public void respond(long requestId, int status, JsonNode body) {
    outbox.add(new Effect.Respond(requestId, status, body, 0));
  }

  public void respondRetry(long requestId, int status, JsonNode body, int retryAfterS) {
    outbox.add(new Effect.Respond(requestId, status, body, retryAfterS));
  }

  public void reply(long nowMicros, Event.Reply reply) {
    ReplyHandler handler = open.remove(reply.callId());
    if (handler != null) {
      handler.onReply(nowMicros, reply.status(), reply.body());
    }
  }

  public int openCalls() {
    return open.size();
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
