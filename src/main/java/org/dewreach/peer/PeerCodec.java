package org.dewreach.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** MessagePack bodies to trees and back. */
public final class PeerCodec {
  private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());

  private PeerCodec() {}

  /** Decodes a body. */
  public static JsonNode read(byte[] body) throws IOException {
    return MESSAGE_PACK.readTree(body);
  }

  /** Encodes a body. */
  public static byte[] write(JsonNode body) {
    try {
      return MESSAGE_PACK.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of plain values always encodes", e);
    }
  }
}
