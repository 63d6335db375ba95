package org.dewreach.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Random;
import org.dewreach.config.SettingsException;
import org.dewreach.config.SettingsReader;
import org.dewreach.config.Tuning;
import org.dewreach.controller.Controller;
import org.dewreach.peer.MessagePackCodec;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Target;
import org.dewreach.wire.Codec;

/**
 * Adapts a controller, driven through its events and effects, to the types of these tests. It keeps
 * the names of the main sources out of them.
 */
final class ControllerUnderTest {
  private static final long SEED = 7;

  /** A call that the controller made; its body was encoded and decoded again. */
  record SentCall(
      long callId, String target, String method, String path, JsonNode body, long timeoutMicros) {}

  /** The controller's response to a request; its body was encoded and decoded again. */
  record SentResponse(long requestId, int status, JsonNode body, int retryAfterS) {}

  /** Receives the calls and responses of the controller. */
  interface Output {
    void onCall(SentCall call);

    void onResponse(SentResponse response);
  }

  private final Controller controller;
  private final Output output;

  ControllerUnderTest(String settings, String boot, long wallOffsetMicros, Output output) {
    this.output = output;
    try {
      controller =
          new Controller(
              SettingsReader.parse(settings),
              Tuning.DEFAULT,
              boot,
              new Random(SEED),
              wallOffsetMicros);
    } catch (SettingsException e) {
      throw new IllegalStateException(e);
    }
  }

  void tick(long nowMicros) {
    handle(nowMicros, new Event.Tick());
  }

  /** Sends a request to the public address; a null body means none, or one that is not CBOR. */
  void request(long nowMicros, long id, String method, String path, JsonNode body) {
    JsonNode decoded = body == null ? null : cborRoundTrip(body);
    handle(nowMicros, new Event.Request(id, Event.Source.PUBLIC, method, path, decoded));
  }

  /** Sends a request of another controller. */
  void peerRequest(long nowMicros, long id, String method, String path, JsonNode body) {
    JsonNode decoded = body == null ? null : messagePackRoundTrip(body);
    handle(nowMicros, new Event.Request(id, Event.Source.PEER, method, path, decoded));
  }

  /** Completes a call; status 0 means no response. */
  void reply(long nowMicros, SentCall call, int status, JsonNode body) {
    JsonNode decoded = body == null ? null : roundTrip(isPeer(call.target()), body);
    handle(nowMicros, new Event.Reply(call.callId(), status, decoded));
  }

  private void handle(long nowMicros, Event event) {
    boolean fromPeer = event instanceof Event.Request r && r.source() == Event.Source.PEER;
    List<Effect> effects = controller.handle(nowMicros, event);
    for (Effect effect : effects) {
      if (effect instanceof Effect.Call call) {
        String to = targetName(call.target());
        output.onCall(
            new SentCall(
                call.callId(),
                to,
                call.method(),
                call.path(),
                roundTrip(isPeer(to), call.body()),
                call.timeoutMicros()));
      } else if (effect instanceof Effect.Respond respond) {
        JsonNode body = roundTrip(fromPeer, respond.body());
        output.onResponse(
            new SentResponse(respond.requestId(), respond.status(), body, respond.retryAfterS()));
      }
    }
  }

  private static String targetName(Target target) {
    if (target instanceof Target.Member member) {
      return "member " + member.name();
    }
    if (target instanceof Target.Worker worker) {
      return "worker " + worker.address();
    }
    return target instanceof Target.Cloud ? "cloud" : "state";
  }

  private static boolean isPeer(String to) {
    return to.startsWith("member ");
  }

  private static JsonNode roundTrip(boolean peer, JsonNode body) {
    if (body == null) {
      return null;
    }
    return peer ? messagePackRoundTrip(body) : cborRoundTrip(body);
  }

  private static JsonNode cborRoundTrip(JsonNode body) {
    return readCbor(writeCbor(body));
  }

  private static JsonNode messagePackRoundTrip(JsonNode body) {
    return readMessagePack(writeMessagePack(body));
  }

  /** Encodes a body of users, workers, the cloud or the key-value store. */
  static byte[] writeCbor(JsonNode body) {
    return Codec.write(body);
  }

  static JsonNode readCbor(byte[] body) {
    try {
      return Codec.read(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Encodes a body of requests between controllers. */
  static byte[] writeMessagePack(JsonNode body) {
    return MessagePackCodec.write(body);
  }

  static JsonNode readMessagePack(byte[] body) {
    try {
      return MessagePackCodec.read(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
