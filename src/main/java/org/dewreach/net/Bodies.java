package org.dewreach.net;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.dewreach.peer.MessagePackCodec;
import org.dewreach.wire.Codec;

/** How bodies are written on a connection. */
public enum Bodies {
  /** CBOR, as the public interfaces have it. */
  CBOR {
    @Override
    JsonNode read(byte[] body) throws IOException {
      return Codec.read(body);
    }

    @Override
    byte[] write(JsonNode body) {
      return Codec.write(body);
    }

    @Override
    String mediaType() {
      return "application/cbor";
    }
  },
  /** MessagePack, between controllers. */
  MESSAGE_PACK {
    @Override
    JsonNode read(byte[] body) throws IOException {
      return MessagePackCodec.read(body);
    }

    @Override
    byte[] write(JsonNode body) {
      return MessagePackCodec.write(body);
    }

    @Override
    String mediaType() {
      return "application/msgpack";
    }
  };

  abstract JsonNode read(byte[] body) throws IOException;

  abstract byte[] write(JsonNode body);

  abstract String mediaType();

  /** The decoded body, or null if it is empty or cannot be decoded. */
  JsonNode readOrNull(byte[] body) {
    if (body.length == 0) {
      return null;
    }
    try {
      JsonNode node = read(body);
      return node == null || node.isMissingNode() ? null : node;
    } catch (IOException | RuntimeException e) {
      // Decoders of untrusted bytes also throw unchecked; to the sender both are malformed.
      return null;
    }
  }
}
