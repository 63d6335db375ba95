package org.dewreach.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;

/** CBOR bodies to trees and back. Trees start faster than bound classes, and starting is charged. */
public final class Codec {
  /** The protocol's messages are flat; deeper ones are attacks on the stack. */
  private static final int MOST_DEPTH = 32;

  private static final ObjectMapper CBOR =
      new ObjectMapper(
              CBORFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MOST_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Codec() {}

  public static JsonNode read(byte[] body) throws IOException {
    return CBOR.readTree(body);
  }

  public static byte[] write(JsonNode body) {
    try {
      return CBOR.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of plain values always encodes", e);
    }
  }

  public static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }
}
