package org.dewreach.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Converts message bodies between MessagePack and trees, for the messages between controllers. */
public final class MessagePackCodec {
  private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());

  private MessagePackCodec() {}

  /**
   * Decodes a body.
   *
   * @throws IOException if it is not MessagePack
   */
  public static JsonNode read(byte[] body) throws IOException {
    return MESSAGE_PACK.readTree(body);
  }

  /** Encodes a body. */
  public static byte[] write(JsonNode body) {
    try {
      return MESSAGE_PACK.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "a tree of plain values could not be encoded as MessagePack", e);
    }
  }
}
