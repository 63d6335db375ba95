package org.dewreach.net;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.dewreach.peer.MessagePackCodec;
import org.dewreach.wire.Codec;

/** The encodings of request and response bodies. */
public enum BodyFormat {
  /** CBOR, for users, workers, the cloud and the key-value store. */
  CBOR("application/cbor", Codec::read, Codec::write),
  /** MessagePack, for requests between controllers and from operators. */
  MESSAGE_PACK("application/msgpack", MessagePackCodec::read, MessagePackCodec::write);

  /** Decodes a body. */
  private interface Decoder {
    JsonNode decode(byte[] body) throws IOException;
  }

  /** Encodes a body. */
  private interface Encoder {
    byte[] encode(JsonNode body);
  }

  private final String mediaType;
  private final Decoder decoder;
  private final Encoder encoder;

  BodyFormat(String mediaType, Decoder decoder, Encoder encoder) {
    this.mediaType = mediaType;
    this.decoder = decoder;
    this.encoder = encoder;
  }

  String mediaType() {
    return mediaType;
  }

  /** Returns the encoded body, which is empty for null. */
  byte[] encode(JsonNode body) {
    return body == null ? new byte[0] : encoder.encode(body);
  }

  /** Returns the decoded body, or null if it is empty or cannot be decoded. */
  JsonNode decodeOrNull(byte[] body) {
    if (body.length == 0) {
      return null;
    }
    try {
      JsonNode node = decoder.decode(body);
      return node == null || node.isMissingNode() ? null : node;
    } catch (IOException | RuntimeException e) {
      // Decoders also throw unchecked exceptions on untrusted bytes; both mean a malformed body.
      return null;
    }
  }
}
